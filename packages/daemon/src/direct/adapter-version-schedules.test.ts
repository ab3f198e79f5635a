import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '@balsamtray/core';
import {
	assertNoneOutdated,
	durationMs,
	maxReadGapMs,
	need,
	reportOf,
	seeds,
	servers,
	tickMs,
	versionMs,
	VirtualEntry,
	type Declaration,
} from './adapter-versions.testing.js';

type Pending = {
	readonly server: string;
	readonly dueAt: number;
	/** Version that the request expects at its server; undefined before it is sent, or if any is accepted. */
	expected?: number | undefined;
	/** Time at which the server begins it; undefined before it is sent. */
	beginsAt?: number;
	isEnded: boolean;
};

/**
 * Sends a request when its wait is over, and begins it at the end of its server's queue.
 *
 * @param version version of the adapter at the server
 * @param queueMs wait in the server's queue, if it is sent now
 * @returns whether it begins now
 */
function advance(
	call: Pending,
	entry: VirtualEntry,
	version: number,
	now: number,
	queueMs: number,
): boolean {
	const {server} = call;
	if (call.beginsAt !== undefined) {
		if (now < call.beginsAt) {
			return false;
		}

		const isRefused = call.expected !== undefined && call.expected !== version;
		const isBeginning = !call.isEnded && !isRefused;
		call.isEnded = true;
		return isBeginning;
	}

	if (now >= call.dueAt) {
		const toExpect = entry.fleet.versionToExpect(server, need, now);
		if (toExpect.kind === 'outdated' || !entry.lease.isFresh(now)) {
			call.isEnded = true;
			return false;
		}

		call.expected = toExpect.kind === 'exactly' ? toExpect.version : undefined;
		call.beginsAt = now + queueMs;
		entry.calls.add({
			model: 'm',
			adapter: 'a',
			version: () =>
				call.expected ??
				entry.fleet.server(server)?.adapterVersion('m', 'a', now),
			recall() {
				call.isEnded = true;
			},
		});
	}

	return false;
}

/**
 * Plays one schedule: versions of any spacing, loads, late reads, restarts of the entry, waits before the send and in the
 * server's queue. Returns the requests that began on too old a version, and how many began.
 */
function play(seed: number) {
	const random = createRandom(seed);
	const between = (min: number, max: number) => min + random() * (max - min);
	const spacingMs = between(100, 6000);
	const isRestarting = random() < 0.5;
	const maxWaitMs = between(0, 8000);
	const declared: Declaration[] = [];
	const held = new Map(servers.map(id => [id, 0]));
	let entry = VirtualEntry.create();
	let pending: Pending[] = [];
	let nextDeclarationAt = between(500, 3000);
	let nextReadAt = 0;
	let restartAt = isRestarting
		? between(2000, durationMs)
		: Number.POSITIVE_INFINITY;
	const outdated: string[] = [];
	let begun = 0;
	for (let now = 0; now < durationMs; now += tickMs) {
		if (now >= nextDeclarationAt) {
			declared.push({version: declared.length + 1, at: now});
			nextDeclarationAt = now + spacingMs * between(0.5, 1.5);
		}

		if (now >= restartAt) {
			entry = VirtualEntry.create();
			// Its connections close, so servers drop its requests.
			pending = [];
			nextReadAt = now + between(200, 1500);
			restartAt = now + between(2000, 8000);
		}

		if (now >= nextReadAt) {
			// The read began some time ago, or is a peer's, which is older.
			entry.learn(declared, Math.max(0, now - between(0, 1200)), now);
			nextReadAt =
				now + (random() < 0.8 ? between(50, 600) : between(50, maxReadGapMs));
		}

		if (random() < 0.02) {
			const server = servers[Math.floor(random() * servers.length)]!;
			held.set(server, declared.length);
		}

		for (const [server, version] of held) {
			entry.fleet.noteReport(server, reportOf(version), now);
		}

		entry.recallIfDue(now);
		if (random() < 0.2 && entry.lease.isFresh(now)) {
			const choice = entry.fleet.choose(need, now);
			if (choice.kind === 'send') {
				pending.push({
					server: choice.server,
					dueAt: now + between(0, maxWaitMs),
					isEnded: false,
				});
			}
		}

		for (const call of pending) {
			const version = held.get(call.server)!;
			if (advance(call, entry, version, now, between(0, maxWaitMs))) {
				begun++;
				const newer = declared.find(
					other => other.version > version && now - other.at > versionMs,
				);
				if (newer !== undefined) {
					outdated.push(
						`version ${version} at ${now}, ${now - newer.at} ms after ${newer.version}`,
					);
				}
			}
		}

		pending = pending.filter(({isEnded}) => !isEnded);
	}

	return {outdated, begun};
}

describe('requests for an adapter whose versions change', () => {
	// Guards against a version limit that is taken from the wrong version, from the wrong time, or before a last wait.
	it(`never begin on one older than a version that was acknowledged longer ago than the bound, in ${seeds} schedules`, () => {
		let begun = 0;
		for (let seed = 1; seed <= seeds; seed++) {
			const result = play(seed);
			assert.deepEqual(result.outdated, [], `seed ${seed}`);
			begun += result.begun;
		}

		assert.ok(begun > 10 * seeds, `only ${begun} requests began`);
	});

	// Guards against a version that a server was known to hold, taken for the one that it holds when the request arrives
	// or begins: orders are carried out late, servers restart, and entries are killed meanwhile.
	it(`never begin on one at servers that carry out orders late, in ${seeds} schedules`, () => {
		assertNoneOutdated(0);
	});
});
