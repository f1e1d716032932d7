/** Called with the encoded size of each message sent or received, and the RPC method. */
export type MessageSizeListener = (method: string, bytes: number) => void;
