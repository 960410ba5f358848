package io.fescuehold.runtime.transport;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Creates the mapper that writes records as MessagePack.
 */
public final class MessagePack {

	private MessagePack() {
	}

	/**
	 * Creates a mapper for records and sealed interfaces of records. Unknown properties
	 * are ignored, so that daemons of different versions can exchange messages.
	 * @return the mapper
	 */
	public static ObjectMapper mapper() {
		return new ObjectMapper(new MessagePackFactory()).setAnnotationIntrospector(new SealedTypeIntrospector())
			.disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
			.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
	}

}
