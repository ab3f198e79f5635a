import {createRandom, type Random} from '../common/random.js';
import {PromptPacer} from '../placement/prompt-pacer.js';
import {turnAskIntervalMs} from './constants.js';
import {TurnQueue, type TurnRequest} from './turn-queue.js';

/** Prefill rate of the simulated engine, in tokens per millisecond, from the system's data sheet. */
export const engineTokensPerMs = 19;

/** Kind of requests, with the share of a customer's requests that are of it. */
export type RequestKind = {
	readonly name: string;
	readonly share: number;
	readonly priority: number;
	readonly targetMs: number;
	readonly deadlineMs: number;
	/** Mean length of the prompts. Some are several times as long. */
	readonly tokens: number;
};

export type Load = {
	readonly kinds: readonly RequestKind[];
	/** Prompt tokens that each customer sends in a second of the usual load. */
	readonly customers: ReadonlyMap<string, number>;
	/** Factor of a customer's usual rate. */
	readonly factor: (customer: string, kind: string, at: number) => number;
	/** Share of the engine's capacity that is there. */
	readonly capacity: (at: number) => number;
	/** Time after which a caller without an answer tries again; undefined if it does not. */
	readonly retryMs?: number;
	readonly durationMs: number;
};

type Counts = {missed: number; all: number};

export type Outcome = {
	readonly callers: number;
	/** Callers whose prompt was sent too late for the target. */
	readonly late: number;
	/** Callers whose prompt was never sent. */
	readonly refused: number;
	/** Largest share of late and refused callers of one customer and of one kind. */
	readonly worstCustomer: number;
	readonly worstKind: number;
	/** Callers, and those late or refused, of each customer, each kind and each customer's kind (`customer/kind`). */
	readonly counts: ReadonlyMap<string, Counts>;
};

type Caller = TurnRequest & {
	readonly customer: string;
	readonly kind: RequestKind;
	readonly targetAt: number;
	readonly deadlineAt: number;
	readonly attempt: number;
};

/** First come, first served: all that the order goes by is left out. */
function inOrderOfArrival({
	id,
	tokens,
	since,
	deadlineAt,
}: Caller): TurnRequest {
	return {id, tokens, since, deadlineAt};
}

/**
 * Plays a load against the queue of one engine, in steps of a millisecond. Callers that can't be in time by their first
 * estimate are refused, under both policies.
 */
export function playLoad(
	load: Load,
	policy: 'turns' | 'arrival',
	seed: number,
): Outcome {
	const random = createRandom(seed);
	const arrivals = arrivalsOf(load, random);
	let at = 0;
	const tokensPerMs = () => engineTokensPerMs * load.capacity(at);
	const pacer = PromptPacer.create(0, tokensPerMs);
	const queue = TurnQueue.create({
		pacer: {
			delayMs: (tokens, now) => pacer.delayMs(tokens, now),
			admit: (tokens, now) => pacer.admit(tokens, now),
			release(tokens, now) {
				pacer.release(tokens, now);
			},
			debt: now => pacer.debt(now),
		},
		tokensPerMs,
	});
	const waiting = new Map<string, Caller>();
	const ended = new Map<string, 'inTime' | 'late' | 'refused'>();
	const asked: Caller[] = [];
	const giveUp = (caller: Caller) => {
		const {id, attempt, kind} = caller;
		waiting.delete(id);
		if (load.retryMs === undefined || attempt > 3) {
			ended.set(id, 'refused');
			return;
		}

		const again = at + load.retryMs;
		arrivals.push({
			...caller,
			id: `${id}'`,
			attempt: attempt + 1,
			since: again,
			targetAt: again + kind.targetMs,
			deadlineAt: again + kind.deadlineMs,
		});
	};

	for (at = 0; at < load.durationMs + 40_000; at++) {
		while (arrivals.length > 0 && arrivals[0]!.since <= at) {
			const caller = arrivals.shift()!;
			asked.push(caller);
			const request = policy === 'turns' ? caller : inOrderOfArrival(caller);
			const answer = queue.ask(request, at);
			waiting.set(caller.id, caller);
			if (answer.kind === 'queued' && at + answer.delayMs > caller.deadlineAt) {
				queue.leave({id: caller.id, tokens: caller.tokens, isSent: false}, at);
				giveUp(caller);
			}
		}

		for (const {id, tokensAhead} of queue.takeDue(at)) {
			const {tokens, targetAt} = waiting.get(id)!;
			waiting.delete(id);
			const firstEventAt = at + (tokensAhead + tokens) / tokensPerMs();
			ended.set(id, firstEventAt > targetAt ? 'late' : 'inTime');
		}

		if (at % turnAskIntervalMs === 0) {
			for (const caller of waiting.values()) {
				if (at > caller.deadlineAt) {
					giveUp(caller);
				} else {
					queue.ask(caller, at);
				}
			}
		}

		arrivals.sort((a, b) => a.since - b.since);
	}

	return outcomeOf(asked, ended);
}

function arrivalsOf(load: Load, random: Random): Caller[] {
	const arrivals: Caller[] = [];
	for (const [customer, tokensPerSecond] of load.customers) {
		for (const kind of load.kinds) {
			let at = 0;
			for (let i = 0; at < load.durationMs; i++) {
				const perMs =
					(tokensPerSecond *
						kind.share *
						load.factor(customer, kind.name, at)) /
					kind.tokens /
					1000;
				at -= Math.log(1 - random()) / perMs;
				arrivals.push({
					id: `${customer}/${kind.name}/${i}`,
					customer,
					kind,
					priority: kind.priority,
					weight: tokensPerSecond,
					// Exponential around the mean: one prompt in 20 has three times the mean.
					tokens: Math.ceil(-Math.log(1 - random()) * kind.tokens),
					since: at,
					targetAt: at + kind.targetMs,
					deadlineAt: at + kind.deadlineMs,
					attempt: 1,
				});
			}
		}
	}

	return arrivals
		.filter(({since}) => since < load.durationMs)
		.toSorted((a, b) => a.since - b.since);
}

function outcomeOf(
	asked: readonly Caller[],
	ended: ReadonlyMap<string, 'inTime' | 'late' | 'refused'>,
): Outcome {
	const missed = new Map<string, Counts>();
	let late = 0;
	let refused = 0;
	let callers = 0;
	for (const {id, customer, kind} of asked) {
		const end = ended.get(id);
		if (end === undefined) {
			continue;
		}

		callers++;
		late += end === 'late' ? 1 : 0;
		refused += end === 'refused' ? 1 : 0;
		for (const key of [customer, kind.name, `${customer}/${kind.name}`]) {
			const counts = missed.get(key) ?? {missed: 0, all: 0};
			counts.all++;
			counts.missed += end === 'inTime' ? 0 : 1;
			missed.set(key, counts);
		}
	}

	const shareOf = (key: string) => {
		const counts = missed.get(key);
		return counts === undefined ? 0 : counts.missed / counts.all;
	};

	const kinds = new Set(asked.map(({kind}) => kind.name));
	const customers = new Set(asked.map(({customer}) => customer));
	return {
		callers,
		late,
		refused,
		worstCustomer: Math.max(...[...customers].map(name => shareOf(name))),
		worstKind: Math.max(...[...kinds].map(name => shareOf(name))),
		counts: missed,
	};
}
