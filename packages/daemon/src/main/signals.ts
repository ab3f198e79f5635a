import process from 'node:process';

/** Signals that ask the daemon to stop. */
const stopSignals = ['SIGTERM', 'SIGINT'] as const;

/** What the daemon does on the first and on the second signal. */
export type StopHandlers = {
	/** Finishes what runs. Resolves when nothing runs any more. */
	readonly drain: () => Promise<void>;
	/** Ends at once. */
	readonly abort: () => void;
};

/** Resolves when the process has received `count` signals to stop. */
async function stopSignalsReceived(count: number): Promise<void> {
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

/** Resolves after the time, without keeping the process alive. */
async function delay(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds).unref();
	});
}

/** Waits for a signal to stop, then drains. A second signal, or the end of the grace time, ends at once. */
export async function waitForStop(
	handlers: StopHandlers,
	graceMs: number,
): Promise<void> {
	const second = stopSignalsReceived(2);
	await stopSignalsReceived(1);
	const isDrained = await Promise.race([
		handlers.drain().then(() => true),
		second.then(() => false),
		delay(graceMs).then(() => false),
	]);
	if (!isDrained) {
		handlers.abort();
	}
}
