/** Number of replicas that hold each record; all members of a smaller fleet. */
export const RECORD_GROUP_SIZE = 5;
