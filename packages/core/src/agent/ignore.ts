/** Handler for events that a policy ignores. */
export function ignore(): void {
	// Intentionally empty.
}
