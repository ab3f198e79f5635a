/** What limits the time at which a request may be sent to a server. */
export type DispatchLimits = {
	/** Monotonic time until which the caller waits, in milliseconds. */
	readonly deadlineAt: number;
	/** Clock epoch in which the request arrived, see `SuspensionDetector`. */
	readonly epoch: number;
};

/** Result of `checkDispatch`: `suspended` means that the time left is unknown. */
export type DispatchCheck = 'allowed' | 'tooLate' | 'suspended';

/**
 * Returns whether a request may still be sent to a server. Every send, retry and resumption checks this after its last
 * wait. The monotonic clock does not count a suspension, so a request from before one may be past its deadline and its
 * caller gone.
 */
export function checkDispatch(
	{deadlineAt, epoch}: DispatchLimits,
	now: number,
	currentEpoch: number,
): DispatchCheck {
	if (epoch !== currentEpoch) {
		return 'suspended';
	}

	return now < deadlineAt ? 'allowed' : 'tooLate';
}
