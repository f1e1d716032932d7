import type { ProtoTypes } from "./ProtoTypes.ts";

type ConfigVersion = ProtoTypes["ConfigVersion"];

/** Maximum length of a part, characters or compressed bytes: a congested link transfers one in well under a second. */
const MAX_PART_LENGTH = 32 * 1024;

/**
 * Splits a document version into parts that are sent as separate messages, so that the receiver sees progress while a
 * long version is being transferred. {@link VersionJoiner} joins them.
 */
export function splitVersion(whole: ConfigVersion): ConfigVersion[] {
  const contents = splitContent(whole);
  return contents.map((content, index) => ({
    ...whole,
    ...content,
    more: index < contents.length - 1,
  }));
}

function splitContent({ document, edit, packed }: ConfigVersion): Partial<ConfigVersion>[] {
  if (packed.length > 0) {
    return splitBytes(packed).map((part) => ({ packed: part }));
  }
  return document === ""
    ? splitText(edit).map((part) => ({ edit: part }))
    : splitText(document).map((part) => ({ document: part }));
}

function splitBytes(bytes: Buffer): Buffer[] {
  const count = Math.ceil(bytes.length / MAX_PART_LENGTH);
  return Array.from({ length: count }, (_, n) =>
    bytes.subarray(n * MAX_PART_LENGTH, (n + 1) * MAX_PART_LENGTH),
  );
}

function splitText(text: string): string[] {
  const parts: string[] = [];
  let from = 0;
  do {
    const to = findPartEnd(text, from);
    parts.push(text.slice(from, to));
    from = to;
  } while (from < text.length);
  return parts;
}

/** End index of the part that starts at `from`; never between the two halves of a surrogate pair. */
function findPartEnd(text: string, from: number): number {
  const to = from + MAX_PART_LENGTH;
  const last = text.charCodeAt(to - 1);
  const isHighSurrogate = last >= 0xd800 && last < 0xdc00;
  return isHighSurrogate ? to - 1 : to;
}
