package io.fescuehold.standin.modelserver;

/**
 * The faults of a model server. Each request to set faults states all of them; a property
 * that is left out is off.
 *
 * @param stallStreams whether open and new streams are silent while their connections
 * stay open; a stalled connection stays silent after the fault is cleared
 * @param stallAfterTokens the tokens after which the connection of a stream goes silent,
 * or 0
 * @param resetAfterTokens the tokens after which the connection of a stream is reset, or
 * 0
 * @param refuseConnections whether new connections are refused
 * @param answer500 whether chat requests are answered with 500
 * @param delayMs the time before an answer starts
 * @param duplicateEvery every n-th stream event is sent twice, or 0
 * @param reorderEvery every n-th stream event is swapped with the next one, or 0
 * @param stopLoadReports whether load requests are not answered
 * @param freezeLoadReports whether the same load is reported from now on
 * @param cacheEventGapEvery every n-th cache event is lost, or 0
 * @param flapPeriodMs connections are refused for every other period, or 0
 */
public record ModelFaults(boolean stallStreams, int stallAfterTokens, int resetAfterTokens, boolean refuseConnections,
		boolean answer500, int delayMs, int duplicateEvery, int reorderEvery, boolean stopLoadReports,
		boolean freezeLoadReports, int cacheEventGapEvery, int flapPeriodMs) {

	/** No faults. */
	public static final ModelFaults NONE = new ModelFaults(false, 0, 0, false, false, 0, 0, 0, false, false, 0, 0);

}
