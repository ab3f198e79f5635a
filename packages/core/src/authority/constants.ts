/** Maximum number of versions of one adapter whose times are kept apart. Beyond it, the oldest ones are merged. */
export const maxDeclarationsPerAdapter = 8;
