/** Told the encoded size of each message sent or received, and by which method. */
export type NoteBytes = (method: string, bytes: number) => void;
