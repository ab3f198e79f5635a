/** Listener of policies that don't care about an event. */
export function ignore(): void {
	// Nothing to do.
}
