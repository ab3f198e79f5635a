import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../common/random.js';
import {overloadRetryMs} from './constants.js';
import {KeptMemory} from './kept-memory.js';
import type {KeptStage} from './types.js';

const kibibyte = 1024;
const mebibyte = 1024 * kibibyte;
const maxBytes = 64 * mebibyte;

/** A request of a load: what is kept for it, and how far it is. */
class Request {
	stage: KeptStage = 'reading';
	bytes = 0;

	constructor(
		readonly name: string,
		public since: number,
	) {}
}

/** Requests whose memory is counted. Those that yield are noted and keep nothing any more. */
class Load {
	readonly memory = KeptMemory.create<Request>({
		maxBytes: () => maxBytes,
		now: 0,
		stateOf: ({stage, since}) => ({stage, since}),
	});

	readonly yielded: Request[] = [];

	keep(request: Request, bytes: number, now: number): void {
		request.bytes = bytes;
		if (!this.memory.set(request, bytes)) {
			return;
		}

		for (const yielding of this.memory.chooseYielding(now)) {
			this.yielded.push(yielding);
			yielding.bytes = 0;
			this.memory.set(yielding, 0);
		}
	}

	has(request: Request): boolean {
		return !this.yielded.includes(request);
	}
}

describe('KeptMemory', () => {
	const many = (count: number, name: string, since: number) =>
		Array.from({length: count}, (_, i) => new Request(`${name}-${i}`, since));

	describe('under bodies that stop short of their end', () => {
		it('ends those, and takes the small requests that come meanwhile', () => {
			const load = new Load();
			const stalled = many(40, 'stalled', 0);
			const ordinary: Request[] = [];
			for (let now = 0; now < 2000; now += 10) {
				for (const request of stalled) {
					const bytes = Math.min(4 * mebibyte, request.bytes + 64 * kibibyte);
					if (load.has(request) && bytes > request.bytes) {
						load.keep(request, bytes, now);
					}
				}

				const request = new Request(`ordinary-${now}`, now);
				ordinary.push(request);
				load.keep(request, 8 * kibibyte, now);
				load.keep(request, 0, now + 5);
				assert.ok(load.memory.bytes <= maxBytes);
			}

			assert.ok(load.yielded.length >= 28);
			assert.ok(ordinary.every(request => load.has(request)));
		});

		it('ends the late ones before a large body that arrives in time', () => {
			const load = new Load();
			const stalled = many(16, 'stalled', 0);
			for (const request of stalled) {
				load.keep(request, 4 * mebibyte, 1000);
			}

			const prompt = new Request('prompt', 20_000);
			for (let bytes = 0; bytes <= 4 * mebibyte; bytes += 256 * kibibyte) {
				load.keep(prompt, bytes + 1, 20_000 + bytes / 1024);
			}

			assert.ok(load.has(prompt));
			assert.ok(!load.has(stalled[0]!));
		});
	});

	describe('under bodies of a few bytes at a time', () => {
		it('ends those that trickle, although each one keeps little', () => {
			const load = new Load();
			const trickling = many(4000, 'trickling', 0);
			for (const request of trickling) {
				load.keep(request, 15 * kibibyte, 10_000);
			}

			const ordinary = new Request('ordinary', 10_000);
			for (let bytes = 0; bytes <= 8 * mebibyte; bytes += mebibyte) {
				load.keep(ordinary, bytes + 1, 10_000 + bytes / 1024);
			}

			assert.ok(load.has(ordinary));
			assert.ok(load.yielded.length > 0);
		});
	});

	describe('under whole bodies that wait for a slow server', () => {
		it('refuses the large ones for small requests, and no request that runs', () => {
			const load = new Load();
			const running = many(6, 'running', 0);
			const waiting = many(6, 'waiting', 0);
			for (const request of [...running, ...waiting]) {
				load.keep(request, 4 * mebibyte, 100);
				request.stage = running.includes(request) ? 'running' : 'waiting';
			}

			const small = many(1000, 'small', 200);
			for (const request of small) {
				load.keep(request, 16 * kibibyte, 200);
				request.stage = 'running';
			}

			const more = many(200, 'more', 300);
			for (const request of more) {
				load.keep(request, 16 * kibibyte, 300);
			}

			assert.ok(more.every(request => load.has(request)));
			assert.ok(running.every(request => load.has(request)));
			assert.ok(waiting.some(request => !load.has(request)));
		});

		it('refuses further large ones at once by their announced length', () => {
			const load = new Load();
			for (const request of many(12, 'running', 0)) {
				load.keep(request, 4 * mebibyte - 2 * kibibyte, 100);
				request.stage = 'running';
			}

			assert.ok(load.memory.isRefused(4 * mebibyte));
			assert.ok(!load.memory.isRefused(16 * kibibyte));
		});

		it('leaves a part of the memory to small requests while large ones run', () => {
			const load = new Load();
			for (const request of many(40, 'large', 0)) {
				load.keep(request, 4 * mebibyte, 100);
				request.stage = 'running';
			}

			const small = many(900, 'small', 200);
			for (const request of small) {
				load.keep(request, 16 * kibibyte, 200);
			}

			assert.ok(small.every(request => load.has(request)));
		});
	});

	describe('under responses that are not read', () => {
		it('cuts those that have stalled for the longest time', () => {
			const load = new Load();
			const unread = many(64, 'unread', 0);
			for (const [i, request] of unread.entries()) {
				request.stage = 'unread';
				request.since = i * 100;
				load.keep(request, mebibyte, 6400);
			}

			const ordinary = new Request('ordinary', 6400);
			load.keep(ordinary, 8 * kibibyte, 6400);
			assert.ok(load.has(ordinary));
			assert.ok(load.yielded.length >= 16);
			assert.deepEqual(load.yielded, unread.slice(0, load.yielded.length));
		});
	});

	it('never keeps more than the limit, but for what runs', () => {
		const random = createRandom(54);
		const load = new Load();
		const requests: Request[] = [];
		for (let now = 0; now < 20_000; now += 5) {
			const request = new Request(`request-${now}`, now);
			requests.push(request);
			const one = requests[Math.floor(random() * requests.length)]!;
			for (const grown of [request, one]) {
				if (load.has(grown)) {
					load.keep(grown, grown.bytes + random() * mebibyte, now);
				}
			}

			if (random() < 0.2) {
				one.stage = one.stage === 'reading' ? 'waiting' : 'unread';
				one.since = now;
			}

			assert.ok(load.memory.bytes <= maxBytes);
		}

		const kept = requests.reduce((sum, {bytes}) => sum + bytes, 0);
		assert.ok(Math.abs(kept - load.memory.bytes) < 1);
	});

	describe('retry-after', () => {
		it('is the longest while nothing becomes free', () => {
			const load = new Load();
			assert.equal(load.memory.retryAfterMs(1, 0), overloadRetryMs.max);
		});

		it('lets small requests come back before large ones', () => {
			const load = new Load();
			for (let now = 0; now < 5000; now += 10) {
				const request = new Request('served', now);
				load.keep(request, 10 * kibibyte, now);
				load.keep(request, 0, now + 5);
			}

			const small = load.memory.retryAfterMs(8 * kibibyte, 5000);
			const large = load.memory.retryAfterMs(4 * mebibyte, 5000);
			assert.equal(small, overloadRetryMs.min);
			assert.ok(large > small);
		});
	});
});
