/** A field of a message. */
export interface FieldSchema {
  readonly name: string;
  readonly id: number;
  /** A scalar type of protobuf, or the name of a message of the same schema. */
  readonly type: string;
  readonly repeated?: boolean;
  /** Type of the keys of a map, whose values have the type `type`. */
  readonly keyType?: string;
}

/** A method of a service. */
interface MethodSchema {
  readonly name: string;
  readonly request: string;
  readonly response: string;
  readonly streamsResponse: boolean;
}

/** The messages and services of one .proto file. */
export interface ProtoSchema {
  readonly package: string;
  readonly messages: Readonly<Record<string, readonly FieldSchema[]>>;
  readonly services: Readonly<Record<string, readonly MethodSchema[]>>;
}
