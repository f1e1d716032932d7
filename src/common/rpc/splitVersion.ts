import type { ProtoTypes } from "./ProtoTypes.ts";

type ConfigVersion = ProtoTypes["ConfigVersion"];

/** Maximum length of a part, characters: a congested link transfers one in well under a second. */
const MAX_PART_LENGTH = 32 * 1024;

/**
 * Splits a document version into parts that are sent as separate messages, so that the receiver sees progress while a
 * long version is being transferred. {@link VersionJoiner} joins them.
 */
export function splitVersion(whole: ConfigVersion): ConfigVersion[] {
  const field = whole.document === "" ? "edit" : "document";
  const texts = split(whole[field]);
  return texts.map((text, index) => ({ ...whole, [field]: text, more: index < texts.length - 1 }));
}

function split(text: string): string[] {
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
