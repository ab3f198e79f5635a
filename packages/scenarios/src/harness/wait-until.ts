import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';

const pollIntervalMs = 50;
const probeTimeoutMs = 1000;

/** Polls until the condition holds. Throws with what was waited for when the time is up. */
export async function waitUntil(
	what: string | (() => string),
	timeoutMs: number,
	isMet: () => Promise<boolean> | boolean,
): Promise<void> {
	const deadline = Date.now() + timeoutMs;
	for (;;) {
		// Polls come one after the other.
		// eslint-disable-next-line no-await-in-loop
		if (await isMet()) {
			return;
		}

		if (Date.now() > deadline) {
			const shown = typeof what === 'string' ? what : what();
			throw new Error(`waited ${timeoutMs} ms in vain for: ${shown}`);
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(pollIntervalMs);
	}
}

/** Whether a GET of the URL answers with 200. */
export async function answersOk(url: string): Promise<boolean> {
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
