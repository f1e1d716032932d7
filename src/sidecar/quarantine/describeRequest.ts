/** Maximum length of the description, characters: enough for operators to recognize the request. */
const MAX_LENGTH = 96;

/** Method and path of a request, shortened, as shown to operators. */
export function describeRequest({ method, path }: { method: string; path: string }): string {
  const text = `${method} ${path}`;
  return text.length <= MAX_LENGTH ? text : `${text.slice(0, MAX_LENGTH - 1)}…`;
}
