import {Buffer} from 'node:buffer';
import type {RecordedOutcome, Usage} from '@balsamtray/core';
import type {CallerResponse} from './caller-response.js';
import {heldAnswerBytes, recordedAnswerBytes} from './constants.js';
import type {DispatchAnswer} from './dispatch-client.js';

/** How an answer is to be handed on. */
export type AnswerPumpOptions = {
	readonly answer: DispatchAnswer;
	readonly response: CallerResponse;
	/** The caller asked for a stream. Any other answer is held until it is whole. */
	readonly isStreamed: boolean;
	/** Keep a copy for later calls with the same idempotency key. */
	readonly isRecorded: boolean;
};

/** How reading an answer ended. */
export type PumpEnd =
	| {
			readonly kind: 'whole';
			readonly usage: Usage;
			readonly outcome: RecordedOutcome | undefined;
	  }
	| {readonly kind: 'cut'; readonly hasReachedCaller: boolean};

/** Reads an answer from an agent and hands it to the caller, no faster than the caller takes it. */
export class AnswerPump {
	static create(options: AnswerPumpOptions): AnswerPump {
		return new AnswerPump(options);
	}

	private _isRelaying = true;
	private _held: Uint8Array[] | undefined;
	private _heldBytes = 0;
	private _record: Uint8Array[] | undefined;
	private _recordBytes = 0;
	private _hasReachedCaller = false;

	private constructor(private readonly _options: AnswerPumpOptions) {
		this._held = _options.isStreamed ? undefined : [];
		this._record = _options.isRecorded ? [] : undefined;
	}

	/** Reads to the end. The caller gets no more after `stopRelaying`. */
	async run(): Promise<PumpEnd> {
		try {
			for await (const chunk of this._options.answer.body) {
				await this._take(chunk);
			}
		} catch {
			return this._cut();
		}

		const usage = this._options.answer.readEnd();
		return usage === undefined
			? this._cut()
			: {kind: 'whole', usage, outcome: this._outcome()};
	}

	/** From now on the answer is only read. */
	stopRelaying(): void {
		this._isRelaying = false;
	}

	/** Ends the whole answer towards the caller. */
	finish(): void {
		const {answer, response} = this._options;
		if (!this._isRelaying) {
			return;
		}

		if (this._held === undefined) {
			response.startStream(answer.status, answer.contentType);
			response.endStream();
		} else {
			const body = Buffer.concat(this._held);
			response.sendWhole(answer.status, answer.contentType, body);
		}
	}

	private async _take(chunk: Uint8Array): Promise<void> {
		this._keepRecord(chunk);
		if (!this._isRelaying) {
			return;
		}

		if (this._held !== undefined) {
			this._held.push(chunk);
			this._heldBytes += chunk.byteLength;
			if (this._heldBytes <= heldAnswerBytes) {
				return;
			}
		}

		const chunks = this._held ?? [chunk];
		this._held = undefined;
		for (const each of chunks) {
			// Each part waits until the caller took the one before.
			// eslint-disable-next-line no-await-in-loop
			await this._relay(each);
		}
	}

	private async _relay(chunk: Uint8Array): Promise<void> {
		const {answer, response} = this._options;
		if (this._isRelaying) {
			this._hasReachedCaller = true;
			response.startStream(answer.status, answer.contentType);
			await response.write(chunk);
		}
	}

	private _keepRecord(chunk: Uint8Array): void {
		this._recordBytes += chunk.byteLength;
		if (this._recordBytes > recordedAnswerBytes) {
			this._record = undefined;
		}

		this._record?.push(chunk);
	}

	private _outcome(): RecordedOutcome | undefined {
		if (this._record === undefined) {
			return undefined;
		}

		const {status, contentType} = this._options.answer;
		const body = Buffer.concat(this._record).toString('base64');
		return {kind: 'answered', status, contentType, body};
	}

	private _cut(): PumpEnd {
		return {kind: 'cut', hasReachedCaller: this._hasReachedCaller};
	}
}
