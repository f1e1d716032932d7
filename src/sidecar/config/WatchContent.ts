/** What a watch of the document carries: the updates themselves, or only the versions, with their ages. */
export type WatchContent = "updates" | "versions";
