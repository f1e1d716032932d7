/**
 * Called with the RPC method of each message sent or received, its encoded size, and the address of the process at the
 * other end, host:port. A client's port is not the one that it listens on.
 */
export type MessageSizeListener = (method: string, bytes: number, peer: string) => void;
