import type {EntryCommand, EntryEvent, ServerStatus} from '@balsamtray/core';
import type {Span} from '../common/types.js';
import {AnswerRelay} from './answer-relay.js';
import {
	sendDispatch,
	type DispatchAnswer,
	type DispatchResponse,
} from './dispatch-client.js';
import type {OpenRequest} from './open-request.js';
import type {EntryTaskOptions, IncomingCall} from './types.js';

type DispatchCommand = Extract<EntryCommand, {readonly type: 'dispatch'}>;

/** A dispatch that has not finished. */
type Attempt = {
	readonly id: string;
	readonly call: IncomingCall;
	readonly controller: AbortController;
	readonly span: Span;
	readonly isRecorded: boolean;
	answer?: DispatchAnswer;
	answerRelay?: AnswerRelay;
};

/** Sends dispatches to agents and relays their answers to callers. */
export class AttemptRunner {
	static create(
		options: EntryTaskOptions,
		post: (event: EntryEvent) => void,
	): AttemptRunner {
		return new AttemptRunner(options, post);
	}

	private readonly _attempts = new Map<string, Attempt>();

	private constructor(
		private readonly _options: EntryTaskOptions,
		private readonly _post: (event: EntryEvent) => void,
	) {}

	async dispatch(
		command: DispatchCommand,
		openRequest: OpenRequest,
	): Promise<void> {
		const {dispatch, server} = command;
		const attempt: Attempt = {
			id: dispatch.attemptId,
			call: openRequest.call,
			controller: new AbortController(),
			span: openRequest.startStep('dispatch'),
			isRecorded: !dispatch.isRepeatable,
		};
		attempt.span.setAttribute('server', server);
		this._attempts.set(attempt.id, attempt);
		const response = await this._send(command, attempt);
		openRequest.endStep('dispatch', response.kind);
		this._onResponse(attempt, response);
	}

	/** Relays the answer to the caller. */
	relay(attemptId: string): void {
		const attempt = this._attempts.get(attemptId);
		if (attempt?.answer !== undefined) {
			void this._readAnswer(attempt, attempt.answer, true);
		}
	}

	/** Reads the rest of the answer only to record it, without relaying it. */
	collect(attemptId: string): void {
		const attempt = this._attempts.get(attemptId);
		if (attempt?.answerRelay !== undefined) {
			attempt.answerRelay.stopRelaying();
		} else if (attempt?.answer !== undefined) {
			void this._readAnswer(attempt, attempt.answer, false);
		}
	}

	/** Completes the answer to the caller. */
	finish(attemptId: string): void {
		this._attempts.get(attemptId)?.answerRelay?.finish();
		this._attempts.delete(attemptId);
	}

	/** Closes the connection to the agent, which makes the agent stop the work. */
	cancel(attemptId: string): void {
		const attempt = this._attempts.get(attemptId);
		this._attempts.delete(attemptId);
		attempt?.answerRelay?.stopRelaying();
		attempt?.controller.abort();
	}

	cancelAll(): void {
		for (const id of this._attempts.keys()) {
			this.cancel(id);
		}
	}

	private async _send(
		{dispatch, server}: DispatchCommand,
		attempt: Attempt,
	): Promise<DispatchResponse> {
		const {membership, dispatcher, peerUrl} = this._options;
		// eslint-disable-next-line unicorn/no-array-callback-reference -- not an array
		const host = membership.find(server);
		if (host === undefined) {
			return {kind: 'failed', fault: {kind: 'notDelivered'}};
		}

		return sendDispatch({
			url: peerUrl(host.peerAddress),
			dispatch: {...dispatch, traceparent: attempt.span.traceparent},
			call: attempt.call.call,
			body: attempt.call.body,
			signal: attempt.controller.signal,
			dispatcher: dispatcher(),
		});
	}

	private _onResponse(attempt: Attempt, response: DispatchResponse): void {
		const attemptId = attempt.id;
		if (response.kind === 'answer') {
			attempt.answer = response;
			this._noteServerVersion(response.server);
			this._post({
				type: 'answerStarted',
				attemptId,
				status: response.server,
			});
			return;
		}

		this._attempts.delete(attemptId);
		if (response.kind === 'failed') {
			this._post({type: 'dispatchFailed', attemptId, fault: response.fault});
			return;
		}

		const {refusal, server, changes} = response;
		this._post({
			type: 'dispatchRefused',
			attemptId,
			refusal,
			status: server,
			changes,
		});
		this._noteServerVersion(server);
	}

	private _noteServerVersion({server, configVersion}: ServerStatus): void {
		this._options.config.notePeerVersion(server, configVersion);
	}

	private async _readAnswer(
		attempt: Attempt,
		answer: DispatchAnswer,
		isRelayed: boolean,
	): Promise<void> {
		const {call, isRecorded} = attempt;
		const attemptId = attempt.id;
		const relay = AnswerRelay.create({
			answer,
			response: call.response,
			isStreamed: isStream(call, answer),
			isRecorded,
		});
		attempt.answerRelay = relay;
		if (!isRelayed) {
			relay.stopRelaying();
		}

		const result = await relay.run();
		if (result.kind === 'complete') {
			const {usage, outcome} = result;
			this._post({
				type: 'answerCompleted',
				attemptId,
				usage,
				...(outcome === undefined ? {} : {outcome}),
			});
		} else {
			const {hasReachedCaller} = result;
			this._post({type: 'answerCut', attemptId, hasReachedCaller});
		}

		this._attempts.delete(attemptId);
	}
}

/** Whether an answer is relayed as it arrives. Only event streams are; any other answer is sent complete or not at all. */
function isStream(call: IncomingCall, answer: DispatchAnswer): boolean {
	return call.isStreamed && answer.contentType.startsWith('text/event-stream');
}
