import {
	adapterKey,
	initialPrefillTokensPerMs,
	type CustomerRule,
	type RouteRule,
	type ServerChoice,
	type ServerNeed,
	type WaitCause,
} from '@balsamtray/core';
import type {CallContext} from './call-context.js';
import type {CallRefusal} from './call-refusal.js';
import {createTurnNeed} from './engine-turn.js';
import type {CallMetadata} from './types.js';
import type {Waiter} from './wait-queue.js';
import {refuseLateLoad, refuseLateTurn, refuseWait} from './wait-refusal.js';

/** A choice of a server that lets the request wait. */
export type WaitChoice = Extract<ServerChoice, {readonly kind: WaitCause}>;

/** Limits of a request that is to wait for a server, as monotonic times in milliseconds. */
export type WaitLimits = {
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	/** Time at which it is refused if it still waits. */
	readonly waitDeadlineAt: number;
	/** Whether the request has not waited before. */
	readonly isFirstWait: boolean;
	/** Whether an agent has said that the turn of its prompt comes too late. */
	readonly hasLateTurn: boolean;
};

/** What the request that is to wait is, beside its need. */
export type WaitSubject = WaitLimits & {
	readonly route: RouteRule;
	readonly customer: CustomerRule | undefined;
	readonly tokens: number;
	/** Whether a part of its response was sent already. */
	readonly hasBegun: boolean;
};

/** Returns the refusal of a request for which waiting is of no use; undefined if it may wait. */
export function refuseBeforeWait(
	context: Pick<
		CallContext,
		'fleet' | 'loadTimes' | 'clock' | 'random' | 'waitQueue'
	>,
	metadata: Pick<CallMetadata, 'model' | 'adapter'>,
	choice: WaitChoice,
	subject: WaitSubject,
): CallRefusal | undefined {
	const {arrivedAt, deadlineAt, waitDeadlineAt, hasLateTurn} = subject;
	if (choice.kind === 'awaitAdapter' && subject.isFirstWait) {
		const late = refuseNewWait(context, metadata, subject);
		if (late !== undefined) {
			return late;
		}
	}

	if (choice.kind === 'promptQueue' && hasLateTurn) {
		const limitMs = deadlineAt - arrivedAt;
		const late = refuseLateTurn(context, metadata, choice.delayMs, limitMs);
		if (late !== undefined) {
			return late;
		}
	}

	const suspendedForMs =
		choice.kind === 'serversSuspended' || choice.kind === 'serversLimited'
			? choice.delayMs
			: 0;
	return context.clock() + suspendedForMs >= waitDeadlineAt
		? {
				...refuseWait(context, metadata, choice.kind),
				...('delayMs' in choice && {retryAfterMs: choice.delayMs}),
			}
		: undefined;
}

/**
 * Decides on a request that begins to wait for its adapter. One that joins others waits as they do, for the same load. A
 * refused caller is remembered, so that it comes before newcomers when it returns.
 */
function refuseNewWait(
	context: Parameters<typeof refuseBeforeWait>[0],
	metadata: Parameters<typeof refuseBeforeWait>[1],
	{arrivedAt, waitDeadlineAt, customer, hasBegun}: WaitSubject,
): CallRefusal | undefined {
	const {waitQueue, clock} = context;
	const {model = '', adapter = ''} = metadata;
	const now = clock();
	if (hasBegun || waitQueue.countFor(adapterKey(model, adapter)) > 0) {
		return undefined;
	}

	const key = callerKey(customer, metadata);
	const since = waitQueue.refused.take(key, now) ?? arrivedAt;
	const allowedMs = waitDeadlineAt - now;
	const late = refuseLateLoad(context, metadata, since, allowedMs);
	if (late?.retryAfterMs !== undefined) {
		waitQueue.refused.note(key, since, late.retryAfterMs, now);
	}

	return late;
}

function callerKey(
	customer: CustomerRule | undefined,
	{model = '', adapter = ''}: Pick<CallMetadata, 'model' | 'adapter'>,
): string {
	return `${customer?.name ?? ''}|${adapterKey(model, adapter)}`;
}

/** Identifies what a request waits for. */
export function waitKeyOf({
	service,
	model,
	adapter,
	softwareVersion = '',
	tried,
}: ServerNeed): Pick<Waiter, 'service' | 'model' | 'adapter' | 'restriction'> {
	return {
		service,
		model,
		adapter:
			model !== undefined && adapter !== undefined
				? adapterKey(model, adapter)
				: undefined,
		restriction: [softwareVersion, ...tried].join('|'),
	};
}

/** @param workMs usual time of the work at the plain service, in milliseconds; 0 if unknown */
export function createWaiter(
	need: ServerNeed,
	{arrivedAt, deadlineAt, route, customer, tokens, hasBegun}: WaitSubject,
	{
		cause,
		workMs,
		retry,
	}: Pick<Waiter, 'cause' | 'retry'> & {readonly workMs: number},
): Waiter {
	const {promptTokens, model} = need;
	const {
		priority,
		customer: name = '',
		weight = 1,
		targetAt,
	} = createTurnNeed({route, customer, promptTokens, arrivedAt, hasBegun});
	const serviceMs =
		model === undefined ? workMs : promptTokens / initialPrefillTokensPerMs;
	return {
		...waitKeyOf(need),
		priority,
		customer: name,
		weight,
		tokens,
		arrivedAt,
		targetAt: targetAt === undefined ? undefined : targetAt - serviceMs,
		deadlineAt: deadlineAt - serviceMs,
		cause,
		retry,
	};
}
