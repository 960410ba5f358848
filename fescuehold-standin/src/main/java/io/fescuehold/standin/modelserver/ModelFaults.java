package io.fescuehold.standin.modelserver;

/**
 * The faults of a model server. Each request to set faults replaces all of them; a fault
 * that is omitted is off.
 *
 * @param stallStreams whether open and new streams send nothing while their connections
 * stay open; a stalled connection stays silent after the fault is cleared
 * @param stallAfterTokens the number of tokens after which the connection of a stream
 * goes silent, or 0 for none
 * @param resetAfterTokens the number of tokens after which the connection of a stream is
 * reset, or 0 for none
 * @param refuseConnections whether new connections are refused
 * @param answer500 whether chat requests are answered with status 500
 * @param delayMs the delay before a response starts in milliseconds
 * @param duplicateEvery every n-th stream event is sent twice; 0 for none
 * @param reorderEvery every n-th stream event is swapped with the next one; 0 for none
 * @param stopLoadReports whether load requests are not answered
 * @param freezeLoadReports whether the same load is reported from now on
 * @param cacheEventGapEvery every n-th cache event is lost; 0 for none
 * @param flapPeriodMs the length in milliseconds of the periods of which every other one
 * refuses connections, or 0 for none
 */
public record ModelFaults(boolean stallStreams, int stallAfterTokens, int resetAfterTokens, boolean refuseConnections,
		boolean answer500, int delayMs, int duplicateEvery, int reorderEvery, boolean stopLoadReports,
		boolean freezeLoadReports, int cacheEventGapEvery, int flapPeriodMs) {

	/** No faults. */
	public static final ModelFaults NONE = new ModelFaults(false, 0, 0, false, false, 0, 0, 0, false, false, 0, 0);

}
