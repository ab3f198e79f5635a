import {Buffer} from 'node:buffer';
import type {RecordedOutcome, Usage} from '@balsamtray/core';
import type {CallerResponse} from './caller-response.js';
import {maxBufferedAnswerBytes, maxRecordedAnswerBytes} from './constants.js';
import type {DispatchAnswer} from './dispatch-client.js';

/** Options for relaying one answer. */
export type AnswerRelayOptions = {
	readonly answer: DispatchAnswer;
	readonly response: CallerResponse;
	/** Whether chunks are sent as they arrive. Any other answer is buffered until it is complete. */
	readonly isStreamed: boolean;
	/** Whether to keep a copy for later calls with the same idempotency key. */
	readonly isRecorded: boolean;
};

/** Result of reading an answer. */
export type RelayResult =
	| {
			readonly kind: 'complete';
			readonly usage: Usage;
			readonly outcome: RecordedOutcome | undefined;
	  }
	| {readonly kind: 'cut'; readonly hasReachedCaller: boolean};

/** Relays an answer from an agent to a caller, with backpressure from the caller. */
export class AnswerRelay {
	static create(options: AnswerRelayOptions): AnswerRelay {
		return new AnswerRelay(options);
	}

	private _isRelaying = true;
	private _buffered: Uint8Array[] | undefined;
	private _bufferedBytes = 0;
	private _recorded: Uint8Array[] | undefined;
	private _recordedBytes = 0;
	private _hasReachedCaller = false;

	private constructor(private readonly _options: AnswerRelayOptions) {
		this._buffered = _options.isStreamed ? undefined : [];
		this._recorded = _options.isRecorded ? [] : undefined;
	}

	/** Reads the answer to its end. After `stopRelaying`, nothing more is sent to the caller. */
	async run(): Promise<RelayResult> {
		try {
			for await (const chunk of this._options.answer.body) {
				await this._handleChunk(chunk);
			}
		} catch {
			return this._cutResult();
		}

		const usage = this._options.answer.readUsage();
		return usage === undefined
			? this._cutResult()
			: {kind: 'complete', usage, outcome: this._recordedOutcome()};
	}

	/** Stops sending to the caller. The rest of the answer is still read, so that it can be recorded. */
	stopRelaying(): void {
		this._isRelaying = false;
	}

	/** Completes the answer to the caller: sends a buffered answer, or ends a started stream. */
	finish(): void {
		const {answer, response} = this._options;
		if (!this._isRelaying) {
			return;
		}

		if (this._buffered === undefined) {
			response.startStream(answer.status, answer.contentType);
			response.endStream();
		} else {
			const body = Buffer.concat(this._buffered);
			response.sendComplete(answer.status, answer.contentType, body);
		}
	}

	private async _handleChunk(chunk: Uint8Array): Promise<void> {
		this._recordChunk(chunk);
		if (!this._isRelaying) {
			return;
		}

		if (this._buffered !== undefined) {
			this._buffered.push(chunk);
			this._bufferedBytes += chunk.byteLength;
			if (this._bufferedBytes <= maxBufferedAnswerBytes) {
				return;
			}
		}

		const chunks = this._buffered ?? [chunk];
		this._buffered = undefined;
		for (const each of chunks) {
			// Each chunk waits until the caller has taken the previous one.
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

	private _recordChunk(chunk: Uint8Array): void {
		this._recordedBytes += chunk.byteLength;
		if (this._recordedBytes > maxRecordedAnswerBytes) {
			this._recorded = undefined;
		}

		this._recorded?.push(chunk);
	}

	private _recordedOutcome(): RecordedOutcome | undefined {
		if (this._recorded === undefined) {
			return undefined;
		}

		const {status, contentType} = this._options.answer;
		const body = Buffer.concat(this._recorded).toString('base64');
		return {kind: 'answered', status, contentType, body};
	}

	private _cutResult(): RelayResult {
		return {kind: 'cut', hasReachedCaller: this._hasReachedCaller};
	}
}
