package io.fescuehold.runtime.transport;

import java.io.Serial;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.cfg.MapperConfig;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.databind.jsontype.TypeResolverBuilder;
import com.fasterxml.jackson.databind.jsontype.impl.StdTypeResolverBuilder;

/**
 * Lets Jackson serialise and deserialise sealed interfaces of records without
 * annotations. The simple name of the record is written as the property
 * {@value #TYPE_PROPERTY}.
 */
final class SealedTypeIntrospector extends JacksonAnnotationIntrospector {

	static final String TYPE_PROPERTY = "@";

	@Serial
	private static final long serialVersionUID = 1L;

	@Override
	public TypeResolverBuilder<?> findTypeResolver(MapperConfig<?> config, AnnotatedClass annotatedClass,
			JavaType baseType) {
		if (!isSealedInterface(annotatedClass.getRawType())) {
			return super.findTypeResolver(config, annotatedClass, baseType);
		}
		JsonTypeInfo.Value settings = JsonTypeInfo.Value.construct(JsonTypeInfo.Id.NAME, JsonTypeInfo.As.PROPERTY,
				TYPE_PROPERTY, null, false, true);
		return new StdTypeResolverBuilder().init(settings, null);
	}

	@Override
	public List<NamedType> findSubtypes(Annotated annotated) {
		if (!isSealedInterface(annotated.getRawType())) {
			return super.findSubtypes(annotated);
		}
		List<NamedType> subtypes = new ArrayList<>();
		records(annotated.getRawType()).forEach((type) -> subtypes.add(new NamedType(type, type.getSimpleName())));
		return subtypes;
	}

	private static boolean isSealedInterface(Class<?> type) {
		return type.isInterface() && type.isSealed();
	}

	/**
	 * Returns the records of a sealed interface, including those of its sealed
	 * sub-interfaces.
	 * @param type the sealed interface
	 * @return the records
	 */
	static List<Class<?>> records(Class<?> type) {
		List<Class<?>> records = new ArrayList<>();
		for (Class<?> permitted : type.getPermittedSubclasses()) {
			if (permitted.isSealed()) {
				records.addAll(records(permitted));
			}
			else {
				records.add(permitted);
			}
		}
		return records;
	}

}
