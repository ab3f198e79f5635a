import type {Random} from '../common/random.js';
import type {Observations} from './observations.testing.js';
import type {
	ClaimResult,
	EntryCommand,
	EntryEvent,
	RecordedOutcome,
} from './types.js';

/** Options of `FakeServices`, provided by the simulation. */
export type FakeServicesOptions = {
	readonly random: Random;
	readonly observations: Observations;
	readonly post: (event: EntryEvent) => void;
	/** Runs the function after a random delay of at most `maxDelayMs`. */
	readonly after: (maxDelayMs: number, run: () => void) => void;
};

type ServiceCommand = Extract<
	EntryCommand,
	{
		readonly type:
			| 'reserveTokens'
			| 'returnTokens'
			| 'claim'
			| 'recordOutcome'
			| 'releaseClaim';
	}
>;

type ClaimRecord =
	| {readonly kind: 'claimed'}
	| {readonly kind: 'settled'; readonly outcome: RecordedOutcome};

/** Simulates the rate and claim services, each of which refuses 10% of its calls. */
export class FakeServices {
	static create(options: FakeServicesOptions): FakeServices {
		return new FakeServices(options);
	}

	private readonly _claims = new Map<string, ClaimRecord>();

	private constructor(private readonly _options: FakeServicesOptions) {}

	execute(command: ServiceCommand): void {
		const observation = this._options.observations.of(command.requestId);
		switch (command.type) {
			case 'reserveTokens': {
				this._reserve(command.requestId, command.tokens);
				break;
			}

			case 'returnTokens': {
				observation.returned += command.tokens;
				break;
			}

			case 'claim': {
				this._claim(command.requestId, command.idempotencyKey);
				break;
			}

			case 'recordOutcome': {
				const {idempotencyKey, outcome} = command;
				observation.hasOpenClaim = false;
				this._claims.set(idempotencyKey, {kind: 'settled', outcome});
				break;
			}

			case 'releaseClaim': {
				observation.hasOpenClaim = false;
				this._claims.delete(command.idempotencyKey);
				break;
			}
		}
	}

	private _reserve(requestId: string, tokens: number): void {
		this._options.after(30, () => {
			if (this._chance(0.1)) {
				this._options.post({type: 'tokensRefused', requestId, retryAfterMs: 5});
			} else {
				this._options.observations.of(requestId).reserved += tokens;
				this._options.post({type: 'tokensReserved', requestId});
			}
		});
	}

	private _claim(requestId: string, key: string): void {
		this._options.after(30, () => {
			const result = this._claimResult(key);
			if (result.kind === 'granted') {
				this._options.observations.of(requestId).hasOpenClaim = true;
			}

			this._options.after(30, () => {
				this._options.post({type: 'claimSettled', requestId, result});
			});
		});
	}

	private _claimResult(key: string): ClaimResult {
		if (this._chance(0.1)) {
			return {kind: 'unavailable', retryAfterMs: 5};
		}

		const claim = this._claims.get(key);
		if (claim === undefined) {
			this._claims.set(key, {kind: 'claimed'});
			return {kind: 'granted'};
		}

		return claim.kind === 'claimed'
			? {kind: 'inProgress', retryAfterMs: 5}
			: {kind: 'recorded', outcome: claim.outcome};
	}

	private _chance(share: number): boolean {
		return this._options.random() < share;
	}
}
