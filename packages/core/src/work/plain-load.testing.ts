import {createRandom, type Random} from '../common/random.js';
import type {NotedLoad, PlainCandidate} from './plain-choice.js';

const slots = 6;
export const plainWorkMs = 86;
const serverCount = 3;
const entryCount = 24;

export type PlainLoad = {
	/** Requests per second of one entry at a time. */
	readonly rateAt: (entry: number, now: number) => number;
	/** How long work takes at a server at a time, against its usual time. */
	readonly slowdownAt: (server: number, now: number) => number;
	readonly forMs: number;
	/** Time after which callers leave, in milliseconds. */
	readonly patienceMs?: number;
	readonly seed: number;
};

/** Chooses among the candidates of one entry. */
export type PlainRule = (
	candidates: readonly PlainCandidate[],
	now: number,
	random: Random,
) => PlainCandidate | undefined;

type Request = {readonly entry: number; readonly at: number};
type Running = Request & {left: number};

/**
 * Runs 24 entries that send to 3 servers, in steps of 1 ms, and returns the sorted times from arrival to answer.
 * Requests of callers that leave, and requests that the rule refuses, have none.
 */
export function runPlainLoad(
	{
		rateAt,
		slowdownAt,
		forMs,
		seed,
		patienceMs = Number.POSITIVE_INFINITY,
	}: PlainLoad,
	rule: PlainRule,
): readonly number[] {
	const random = createRandom(seed);
	const choiceRandom = createRandom(seed + 1);
	const running = Array.from({length: serverCount}, (): Running[] => []);
	const waiting = Array.from({length: serverCount}, (): Request[] => []);
	const outstanding = Array.from({length: entryCount}, () =>
		Array.from({length: serverCount}, () => 0),
	);
	const loads = Array.from({length: entryCount}, () =>
		Array.from({length: serverCount}, (): NotedLoad | undefined => undefined),
	);
	const sentAt = Array.from({length: entryCount}, () =>
		Array.from({length: serverCount}, (): readonly number[] => []),
	);
	const times: number[] = [];
	// Time to answer all that waits at the end.
	const endAt = forMs + 20_000;
	for (let now = 0; now < endAt; now++) {
		for (let entry = 0; entry < entryCount; entry++) {
			if (now >= forMs || random() >= rateAt(entry, now) / 1000) {
				continue;
			}

			const candidates = Array.from({length: serverCount}, (_, server) => ({
				id: String(server),
				slots,
				outstanding: outstanding[entry]![server]!,
				load: loads[entry]![server],
				zoneDistance: 0,
				sentWithinSecond: sentAt[entry]![server]!.filter(at => now - at <= 1000)
					.length,
			}));
			const chosen = rule(candidates, now, choiceRandom);
			if (chosen === undefined) {
				continue;
			}

			const server = Number(chosen.id);
			sentAt[entry]![server] = [...sentAt[entry]![server]!, now].slice(-50);
			outstanding[entry]![server]!++;
			waiting[server]!.push({entry, at: now});
		}

		for (let server = 0; server < serverCount; server++) {
			const slowdown = slowdownAt(server, now);
			const active = running[server]!;
			for (const request of active) {
				request.left -= 1 / slowdown;
			}

			const ended = active.filter(({left}) => left <= 0);
			const going = active.filter(({left}) => left > 0);
			const staying = waiting[server]!.filter(({at}) => now - at < patienceMs);
			for (const {entry, at} of waiting[server]!) {
				outstanding[entry]![server]! -= now - at < patienceMs ? 0 : 1;
			}

			while (going.length < slots && staying.length > 0) {
				going.push({...staying.shift()!, left: plainWorkMs});
			}

			running[server] = going;
			waiting[server] = staying;

			for (const {entry, at} of ended) {
				times.push(now - at);
				outstanding[entry]![server]!--;
				loads[entry]![server] = {
					running: going.length,
					waiting: staying.length,
					slots,
					slowdown,
					at: now,
					outstanding: outstanding[entry]![server]!,
				};
			}
		}
	}

	return times.toSorted((a, b) => a - b);
}
