package madderrudder.coordination.cloud;

import madderrudder.protocol.JsonFields;

/**
 * The catalog in the form that the cloud sent. Its fields are validated only when the machine types
 * are read from it.
 *
 * @param json the JSON text as received, so that it can be stored unchanged
 * @param fields the parsed fields of the same text
 */
public record CatalogDocument(byte[] json, JsonFields fields) {}
