import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createRandom} from '@balsamtray/core';
import {arrivalTimes} from './arrivals.js';
import {LoadRecorder} from './load-recorder.js';
import {LoadSender} from './load-sender.js';
import type {LoadPlan, LoadReport} from './types.js';

const progressIntervalMs = 1000;

/** Runs a load test: sends each request when it is due and waits until all have completed. */
export async function runLoad(
	plan: LoadPlan,
	onProgress: (line: string) => void,
): Promise<LoadReport> {
	const recorder = LoadRecorder.create();
	const sender = LoadSender.create(plan, createRandom(plan.seed + 1));
	const timer = setInterval(() => {
		onProgress(recorder.progress());
	}, progressIntervalMs);
	try {
		await sendAll(plan, sender, recorder);
	} finally {
		clearInterval(timer);
		await sender.close();
	}

	return recorder.report(plan);
}

async function sendAll(
	plan: LoadPlan,
	sender: LoadSender,
	recorder: LoadRecorder,
): Promise<void> {
	const random = createRandom(plan.seed);
	const startedAt = performance.now();
	const inFlight = new Set<Promise<void>>();
	for (const dueMs of arrivalTimes(
		plan.ratePerSecond,
		plan.durationMs,
		random,
	)) {
		const waitMs = startedAt + dueMs - performance.now();
		if (waitMs >= 1) {
			// Requests are sent in the order of their due times.
			// eslint-disable-next-line no-await-in-loop
			await sleep(waitMs);
		}

		recorder.recordSent(dueMs);
		const run = sendOne(sender, recorder, startedAt, dueMs);
		inFlight.add(run);
		void run.finally(() => {
			inFlight.delete(run);
		});
	}

	await Promise.all(inFlight);
}

async function sendOne(
	sender: LoadSender,
	recorder: LoadRecorder,
	startedAt: number,
	dueMs: number,
): Promise<void> {
	const outcome = await sender.send(startedAt + dueMs);
	recorder.recordEnd(dueMs, outcome);
}
