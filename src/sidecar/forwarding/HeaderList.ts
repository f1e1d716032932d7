/** Header names and values in turn, as they came: repeated ones stay repeated, and in their order. */
export type HeaderList = readonly string[];
