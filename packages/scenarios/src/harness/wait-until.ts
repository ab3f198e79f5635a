import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';

const pollIntervalMs = 50;
const probeTimeoutMs = 1000;

/** Polls until the condition is met. Throws with the description when the timeout expires. */
export async function waitUntil(
	description: string | (() => string),
	timeoutMs: number,
	isMet: () => Promise<boolean> | boolean,
): Promise<void> {
	const deadline = Date.now() + timeoutMs;
	for (;;) {
		// Each poll waits for the previous one.
		// eslint-disable-next-line no-await-in-loop
		if (await isMet()) {
			return;
		}

		if (Date.now() > deadline) {
			const text =
				typeof description === 'string' ? description : description();
			throw new Error(`timed out after ${timeoutMs} ms waiting for: ${text}`);
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(pollIntervalMs);
	}
}

/** Whether a GET of the URL returns status 200 in time. */
export async function respondsWithOk(url: string): Promise<boolean> {
	try {
		const res = await request(url, {
			headersTimeout: probeTimeoutMs,
			bodyTimeout: probeTimeoutMs,
		});
		await res.body.dump();
		return res.statusCode === 200;
	} catch {
		return false;
	}
}
