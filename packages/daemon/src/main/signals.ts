import process from 'node:process';

/** Signals that stop the daemon. */
const stopSignals = ['SIGTERM', 'SIGINT'] as const;

/** Handlers of a shutdown. */
export type StopHandlers = {
	/** Completes running work. Resolves when all of it has ended. */
	readonly drain: () => Promise<void>;
	/** Called if the drain has not finished by the second signal or the end of the grace period. */
	readonly abort: () => void;
};

/** Resolves when the process has received `count` stop signals since the call. */
async function waitForSignals(count: number): Promise<void> {
	return new Promise(resolve => {
		let received = 0;
		const onSignal = () => {
			received++;
			if (received === count) {
				resolve();
			}
		};

		for (const signal of stopSignals) {
			process.on(signal, onSignal);
		}
	});
}

/** Resolves after a delay. The timer does not keep the process alive. */
async function delay(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds).unref();
	});
}

/** Waits for a stop signal, then drains. A second signal or the end of the grace period aborts the drain. */
export async function waitForStop(
	handlers: StopHandlers,
	graceMs: number,
): Promise<void> {
	const second = waitForSignals(2);
	await waitForSignals(1);
	const isDrained = await Promise.race([
		handlers.drain().then(() => true),
		second.then(() => false),
		delay(graceMs).then(() => false),
	]);
	if (!isDrained) {
		handlers.abort();
	}
}
