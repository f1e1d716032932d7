/** Fills the placeholders `{{a.b}}` and `{{a.b|json}}` of a settings template, as the platform does. */
export function renderTemplate(template: string, fields: object): string {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path: string, json?: string) => {
    const value = path
      .split(".")
      .reduce<unknown>((at, key) => (at as Record<string, unknown> | undefined)?.[key], fields);
    if (json !== undefined) {
      return JSON.stringify(value ?? null);
    }
    return typeof value === "string" ? value : JSON.stringify(value ?? null);
  });
}
