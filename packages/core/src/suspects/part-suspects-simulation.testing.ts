import {createRandom, type Random} from '../common/random.js';
import {topByRendezvous} from '../common/rendezvous.js';
import {PartSuspects} from './part-suspects.js';

/** Requests whose servers end, as long as the part is bad. Times and lengths in milliseconds. */
export type BadTraffic = {
	readonly part: string;
	readonly perS: number;
	readonly from: number;
	readonly to: number;
	/** Other parts of each of these requests; by default those of a sound one. */
	readonly others?: readonly string[];
};

/** Engines end at nearly one moment, for a reason that is not in any request. */
export type Herd = {
	readonly at: number;
	readonly share: number;
	readonly spreadMs: number;
};

/** Connections of some engines are reset, as the engines go on. */
export type Resets = {
	readonly from: number;
	readonly to: number;
	readonly share: number;
	readonly engineCount: number;
};

/** Two halves of the entries don't hear each other. */
export type Cut = {readonly from: number; readonly to: number};

export type Scenario = {
	readonly entryCount: number;
	readonly engineCount: number;
	readonly durationMs: number;
	readonly soundPerS: number;
	readonly bad: readonly BadTraffic[];
	readonly herds: readonly Herd[];
	readonly resets?: Resets;
	/** Engines are restarted one after the other at this interval. */
	readonly release?: {readonly from: number; readonly everyMs: number};
	/** Requests with this many parts that are seen once end servers at this rate. */
	readonly attacker?: {readonly perS: number; readonly parts: number};
	/** An entry starts anew and knows nothing. */
	readonly restarts: readonly number[];
	readonly cut?: Cut;
	readonly maxGossipMs: number;
	readonly gossipLoss: number;
	/** Share of the ends that no connection tells of. */
	readonly silentShare: number;
	/**
	 * Which interrupted attempts are evidence: those whose answer had begun, dated by its begin, or all that had not gone
	 * on, dated by when their entry learned of it.
	 */
	readonly evidence: 'begun' | 'all';
};

export type Span = {
	readonly part: string;
	readonly from: number;
	readonly to: number;
};

export type Outcome = {
	/** Ends of servers by bad part. */
	readonly crashes: ReadonlyMap<string, readonly number[]>;
	/** When requests with a bad part reached a server, by the time of their sends. */
	readonly badSends: ReadonlyMap<string, readonly number[]>;
	readonly sound: number;
	readonly refusedSound: number;
	/** Times of the refusals of sound requests. */
	readonly refusals: readonly number[];
	/** Times in which a sound part was under quarantine at an entry. */
	readonly soundSpans: readonly Span[];
	/** Most parts with evidence at one entry, at the end. */
	readonly tracked: number;
	/** Parts that are quarantined at some entries, but not at all, at the end. */
	readonly differing: number;
};

type Engine = {
	readonly id: number;
	start: number;
	isUp: boolean;
	isSilent: boolean;
	running: number;
	attempts: Set<Attempt>;
	queue: Attempt[];
};

type Request = {
	readonly parts: readonly string[];
	readonly badParts: readonly string[];
	readonly isSound: boolean;
	interruptions: number;
	tries: number;
	isRefused: boolean;
};

type Attempt = {
	readonly request: Request;
	readonly entry: Entry;
	readonly engine: Engine;
	readonly start: number;
	readonly sentAt: number;
	begunAt: number | undefined;
	hasGoneOn: boolean;
	isOver: boolean;
};

type Entry = {
	readonly id: string;
	readonly index: number;
	/** Difference between this process's monotonic clock and the schedule's time. */
	clockOffset: number;
	suspects: PartSuspects;
	/** Starts of engines, by index; undefined while the entry believes that the engine is gone. */
	readonly starts: Array<number | undefined>;
	readonly attempts: Set<Attempt>;
	startedAt: number;
	readonly quarantinedSince: Map<string, number>;
};

const slots = 8;
const maxTries = 3;
const heartbeatMs = 200;
/** Time after which a caller without an answer, or an entry's watch on a server, gives up. */
const silenceMs = 2000;
const commonParts = ['chat/m0', 'chat/m1', 'chat/m2', 'chat/m3'];
const rareParts = Array.from({length: 12}, (_, i) => `chat/rare${i}`);
const firstPart = 'chat/first';

/** Entries that share their suspects by lossy datagrams, engines that end, and traffic, in virtual time. */
export class PartSuspectsSimulation {
	static run(scenario: Scenario, seed: number): Outcome {
		return new PartSuspectsSimulation(scenario, createRandom(seed)).play();
	}

	private _now = 0;
	/** What runs at each millisecond. */
	private readonly _timers: Array<Array<() => void> | undefined>;
	private readonly _engines: Engine[];
	private readonly _entries: Entry[];
	private readonly _owners = new Map<string, string>();
	private readonly _badParts: ReadonlySet<string>;
	private readonly _crashes = new Map<string, number[]>();
	private readonly _badSends = new Map<string, number[]>();
	private readonly _refusals: number[] = [];
	private readonly _soundSpans: Span[] = [];
	private _sound = 0;
	private _requests = 0;

	private constructor(
		private readonly _scenario: Scenario,
		private readonly _random: Random,
	) {
		this._timers = Array.from({length: _scenario.durationMs}, () => undefined);
		this._badParts = new Set(_scenario.bad.map(({part}) => part));
		this._engines = Array.from({length: _scenario.engineCount}, (_, id) => ({
			id,
			start: 0,
			isUp: true,
			isSilent: false,
			running: 0,
			attempts: new Set(),
			queue: [],
		}));
		this._entries = Array.from({length: _scenario.entryCount}, (_, index) => ({
			id: `e${index}`,
			index,
			clockOffset: Math.floor(_random() * 1_000_000),
			suspects: PartSuspects.create(),
			starts: this._engines.map(() => 0),
			attempts: new Set(),
			startedAt: 0,
			quarantinedSince: new Map(),
		}));
	}

	/** Plays the whole schedule. */
	play(): Outcome {
		this._schedule();
		for (; this._now < this._scenario.durationMs; this._now++) {
			const timers = this._timers[this._now];
			this._timers[this._now] = undefined;
			for (const run of timers ?? []) {
				run();
			}
		}

		const quarantined = this._entries.map(
			entry => new Set(entry.suspects.quarantined(this._clock(entry))),
		);
		for (const entry of this._entries) {
			this._noteSpans(entry, new Set());
		}

		return {
			crashes: this._crashes,
			badSends: this._badSends,
			sound: this._sound,
			refusedSound: this._refusals.length,
			refusals: this._refusals,
			soundSpans: this._soundSpans,
			tracked: Math.max(
				...this._entries.map(
					entry => entry.suspects.entries(this._clock(entry)).length,
				),
			),
			differing: [...new Set(quarantined.flatMap(set => [...set]))].filter(
				part => quarantined.some(set => !set.has(part)),
			).length,
		};
	}

	private _schedule(): void {
		const {soundPerS, bad, herds, resets, release, attacker, restarts} =
			this._scenario;
		const end = this._scenario.durationMs;
		this._poisson(soundPerS, 0, end, () => {
			this._sound++;
			this._arrive(this._soundParts(), true);
		});
		for (const {part, perS, from, to, others} of bad) {
			this._poisson(perS, from, to, () => {
				const parts = others ?? this._soundParts().slice(0, 2);
				this._arrive([...parts, part, `chat/last${this._requests}`], false);
			});
		}

		for (const {at, share, spreadMs} of herds) {
			for (const engine of this._engines) {
				if (this._random() < share) {
					this._at(at + this._random() * spreadMs, () => {
						this._end(engine);
					});
				}
			}
		}

		if (resets !== undefined) {
			for (let at = resets.from; at < resets.to; at += 100) {
				this._at(at, () => {
					this._reset(resets);
				});
			}
		}

		if (release !== undefined) {
			for (const [i, engine] of this._engines.entries()) {
				this._at(release.from + i * release.everyMs, () => {
					this._end(engine);
				});
			}
		}

		if (attacker !== undefined) {
			this._poisson(attacker.perS, 5000, end, () => {
				const parts = Array.from(
					{length: attacker.parts},
					(_, i) => `chat/once${this._requests}-${i}`,
				);
				this._arrive([firstPart, ...parts], false, true);
			});
		}

		for (const at of restarts) {
			this._at(at, () => {
				this._restart(this._pick(this._entries));
			});
		}

		for (let at = 0; at < end; at += heartbeatMs) {
			this._at(at, () => {
				this._heartbeat();
			});
		}
	}

	// Traffic

	private _soundParts(): readonly string[] {
		const parts = [
			firstPart,
			commonParts[Math.floor(this._random() ** 2 * commonParts.length)]!,
		];
		if (this._random() < 0.1) {
			parts.push(this._pick(rareParts));
		}

		return [...parts, `chat/last${this._requests}`];
	}

	private _arrive(
		parts: readonly string[],
		isSound: boolean,
		isBadOnce = false,
	): void {
		this._requests++;
		this._dispatch(this._pick(this._entries), {
			parts,
			badParts: isBadOnce
				? parts.slice(-1)
				: parts.filter(part => this._badParts.has(part)),
			isSound,
			interruptions: 0,
			tries: 0,
			isRefused: false,
		});
	}

	private _dispatch(entry: Entry, request: Request): void {
		const now = this._clock(entry);
		const verdict = entry.suspects.check(
			request.parts,
			{
				isRepeat: request.interruptions > 0,
				isOwner: part => this._owner(part) === entry.id,
			},
			now,
		);
		if (verdict.kind === 'quarantined') {
			if (request.isSound && request.interruptions === 0) {
				this._refusals.push(this._now);
			}

			return;
		}

		const engines = this._engines.filter(
			({id}) => entry.starts[id] !== undefined,
		);
		if (engines.length === 0 || request.tries >= maxTries) {
			return;
		}

		if (verdict.kind === 'trial') {
			entry.suspects.startTrial(verdict.part, now);
		}

		request.tries++;
		const engine = this._pick(engines);
		const attempt: Attempt = {
			request,
			entry,
			engine,
			start: entry.starts[engine.id]!,
			sentAt: this._now,
			begunAt: undefined,
			hasGoneOn: false,
			isOver: false,
		};
		entry.attempts.add(attempt);
		this._after(1 + this._random() * 4, () => {
			this._reach(attempt);
		});
	}

	private _reach(attempt: Attempt): void {
		const {engine, entry, request} = attempt;
		if (attempt.isOver) {
			return;
		}

		if (!engine.isUp) {
			if (engine.isSilent) {
				this._giveUpLater(attempt);
			} else {
				this._finish(attempt);
				entry.starts[engine.id] = undefined;
				this._dispatch(entry, request);
			}

			return;
		}

		for (const part of request.badParts) {
			listOf(this._badSends, part).push(attempt.sentAt);
		}

		engine.attempts.add(attempt);
		if (engine.running < slots) {
			this._runAttempt(attempt);
		} else {
			engine.queue.push(attempt);
		}
	}

	private _runAttempt(attempt: Attempt): void {
		const {engine, request} = attempt;
		engine.running++;
		const {start} = engine;
		const isRunning = (): boolean =>
			engine.start === start && engine.isUp && engine.attempts.has(attempt);
		const prefillMs = 30 + this._random() * 20 * (2 + engine.running);
		this._after(prefillMs, () => {
			if (!isRunning()) {
				return;
			}

			this._hear(attempt, () => {
				attempt.begunAt = this._clock(attempt.entry);
			});
			if (request.badParts.length > 0) {
				for (const part of request.badParts) {
					listOf(this._crashes, part).push(this._now);
				}

				this._after(this._random() * 20, () => {
					if (isRunning()) {
						this._end(engine);
					}
				});
				return;
			}

			this._after(20 + this._random() * 40, () => {
				if (isRunning()) {
					this._hear(attempt, () => {
						this._goOn(attempt);
					});
				}
			});
			this._after(200 + this._random() * 1200, () => {
				if (isRunning()) {
					engine.attempts.delete(attempt);
					engine.running--;
					this._finish(attempt);
					const next = engine.queue.shift();
					if (next !== undefined) {
						this._runAttempt(next);
					}
				}
			});
		});
	}

	private _goOn(attempt: Attempt): void {
		attempt.hasGoneOn = true;
		const {entry, request, begunAt} = attempt;
		if (begunAt === undefined) {
			return;
		}

		const cleared = entry.suspects.noteProgress(
			request.parts,
			begunAt,
			this._clock(entry),
		);
		const begun = begunAt - entry.clockOffset;
		for (const part of cleared) {
			this._tell(entry, peer => {
				peer.suspects.noteCleared(
					part,
					begun + peer.clockOffset,
					this._clock(peer),
				);
			});
		}
	}

	private _interrupt(attempt: Attempt): void {
		const {entry, engine, request, start} = attempt;
		if (attempt.isOver) {
			return;
		}

		this._finish(attempt);
		if (attempt.hasGoneOn) {
			return;
		}

		const now = this._clock(entry);
		const isOfBegun = this._scenario.evidence === 'begun';
		if (isOfBegun && attempt.begunAt === undefined) {
			this._dispatch(entry, request);
			return;
		}

		request.interruptions++;
		const ends = entry.suspects.noteEnds(
			request.parts,
			`g${engine.id}@${start}`,
			isOfBegun ? attempt.begunAt! : now,
			now,
		);
		for (const {part, start, at} of ends) {
			const endedAt = at - entry.clockOffset;
			this._tell(entry, peer => {
				peer.suspects.noteEnds(
					[part],
					start,
					endedAt + peer.clockOffset,
					this._clock(peer),
				);
			});
		}

		this._dispatch(entry, request);
	}

	private _finish(attempt: Attempt): void {
		attempt.isOver = true;
		attempt.entry.attempts.delete(attempt);
	}

	// Engines

	private _end(engine: Engine): void {
		if (!engine.isUp) {
			return;
		}

		engine.isUp = false;
		engine.isSilent = this._random() < this._scenario.silentShare;
		const attempts = [...engine.attempts];
		engine.attempts.clear();
		engine.queue = [];
		engine.running = 0;
		for (const attempt of attempts) {
			if (engine.isSilent) {
				this._giveUpLater(attempt);
			} else {
				this._after(1 + this._random() * 10, () => {
					if (attempt.entry.starts[engine.id] === attempt.start) {
						attempt.entry.starts[engine.id] = undefined;
					}

					this._interrupt(attempt);
				});
			}
		}

		if (engine.isSilent) {
			this._after(silenceMs, () => {
				for (const entry of this._entries) {
					if (!engine.isUp && entry.starts[engine.id] === engine.start) {
						entry.starts[engine.id] = undefined;
					}
				}
			});
		}

		this._after(1500 + this._random() * 1500, () => {
			engine.isUp = true;
			engine.start++;
			const {start} = engine;
			for (const entry of this._entries) {
				this._after(200 + this._random() * 400, () => {
					this._seeStart(entry, engine, start);
				});
			}
		});
	}

	/** An attempt at an earlier start of the server has ended with it. */
	private _seeStart(entry: Entry, engine: Engine, start: number): void {
		if (engine.start !== start || !engine.isUp) {
			return;
		}

		entry.starts[engine.id] = start;
		for (const attempt of entry.attempts) {
			if (attempt.engine === engine && attempt.start < start) {
				this._interrupt(attempt);
			}
		}
	}

	private _giveUpLater(attempt: Attempt): void {
		this._at(Math.max(this._now, attempt.sentAt + silenceMs), () => {
			if (!attempt.isOver) {
				attempt.request.tries = maxTries;
				this._interrupt(attempt);
			}
		});
	}

	private _reset({share, engineCount}: Resets): void {
		for (const engine of this._engines.slice(0, engineCount)) {
			for (const attempt of engine.attempts) {
				// Each attempt meets some of the resets; by them, `share` of those that have not begun is interrupted.
				if (!attempt.hasGoneOn && this._random() < share) {
					engine.attempts.delete(attempt);
					engine.queue = engine.queue.filter(queued => queued !== attempt);
					this._interrupt(attempt);
				}
			}

			engine.running = [...engine.attempts].filter(
				attempt => !engine.queue.includes(attempt),
			).length;
		}
	}

	// Entries

	private _restart(entry: Entry): void {
		for (const attempt of entry.attempts) {
			attempt.isOver = true;
			attempt.engine.attempts.delete(attempt);
		}

		entry.attempts.clear();
		this._noteSpans(entry, new Set());
		entry.suspects = PartSuspects.create();
		entry.clockOffset = Math.floor(this._random() * 1_000_000);
		entry.startedAt = this._now;
		// It asks a peer before it is ready.
		const peer = this._pick(this._entries.filter(other => other !== entry));
		entry.suspects.merge(
			peer.suspects.entries(this._clock(peer)),
			this._clock(entry),
		);
	}

	private _heartbeat(): void {
		const digests = this._entries.map(entry =>
			entry.suspects.digest(this._clock(entry)),
		);
		for (const entry of this._entries) {
			this._noteSpans(
				entry,
				new Set(
					digests[entry.index] === ''
						? []
						: entry.suspects.quarantined(this._clock(entry)),
				),
			);
			// Each tells its digest to all; whoever differs answers with its evidence.
			for (const peer of this._entries) {
				if (peer !== entry && digests[peer.index] !== digests[entry.index]) {
					this._send(entry, peer, () => {
						this._send(peer, entry, this._offer(peer, entry));
					});
				}
			}
		}
	}

	private _offer(from: Entry, to: Entry): () => void {
		const entries = from.suspects.entries(this._clock(from));
		return () => {
			to.suspects.merge(entries, this._clock(to));
		};
	}

	private _noteSpans(entry: Entry, quarantined: ReadonlySet<string>): void {
		for (const [part, from] of entry.quarantinedSince) {
			if (!quarantined.has(part)) {
				entry.quarantinedSince.delete(part);
				this._soundSpans.push({part, from, to: this._now});
			}
		}

		for (const part of quarantined) {
			if (!this._badParts.has(part) && !entry.quarantinedSince.has(part)) {
				entry.quarantinedSince.set(part, this._now);
			}
		}
	}

	private _owner(part: string): string {
		const known = this._owners.get(part);
		if (known !== undefined) {
			return known;
		}

		const [owner] = topByRendezvous(
			part,
			this._entries.map(({id}) => id),
			1,
		);
		this._owners.set(part, owner!);
		return owner!;
	}

	private _tell(from: Entry, run: (peer: Entry) => void): void {
		for (const peer of this._entries) {
			if (peer !== from) {
				this._send(from, peer, () => {
					run(peer);
				});
			}
		}
	}

	private _send(from: Entry, to: Entry, run: () => void): void {
		const {cut, maxGossipMs, gossipLoss} = this._scenario;
		const isCut =
			cut !== undefined &&
			this._now >= cut.from &&
			this._now < cut.to &&
			from.index % 2 !== to.index % 2;
		if (isCut || this._random() < gossipLoss) {
			return;
		}

		const sentAt = this._now;
		this._after(1 + this._random() * maxGossipMs, () => {
			if (from.startedAt <= sentAt && to.startedAt <= sentAt) {
				run();
			}
		});
	}

	// Time

	private _clock(entry: Entry): number {
		return this._now + entry.clockOffset;
	}

	/** Something that a server says reaches the entry, if both are still there. */
	private _hear(attempt: Attempt, run: () => void): void {
		this._after(1 + this._random() * 4, () => {
			if (!attempt.isOver) {
				run();
			}
		});
	}

	private _poisson(
		perS: number,
		from: number,
		to: number,
		run: () => void,
	): void {
		const next = (at: number): void => {
			const nextAt = at - (1000 / perS) * Math.log(1 - this._random());
			if (perS > 0 && nextAt < to) {
				this._at(nextAt, () => {
					run();
					next(nextAt);
				});
			}
		};

		next(from);
	}

	private _after(ms: number, run: () => void): void {
		this._at(this._now + ms, run);
	}

	private _at(at: number, run: () => void): void {
		const slot = Math.max(Math.ceil(at), this._now + 1);
		if (slot < this._scenario.durationMs) {
			(this._timers[slot] ??= []).push(run);
		}
	}

	private _pick<T>(items: readonly T[]): T {
		return items[Math.floor(this._random() * items.length)]!;
	}
}

function listOf(map: Map<string, number[]>, key: string): number[] {
	const list = map.get(key) ?? [];
	map.set(key, list);
	return list;
}
