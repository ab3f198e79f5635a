import type {ServerChoice, ServerNeed} from '../placement/types.js';
import {turnAskIntervalMs} from './constants.js';

/** What the choice of an engine is asked for a prompt that waits for its turn at one. */
export type EngineView = {
	readonly choose: (need: ServerNeed, now: number) => ServerChoice;
	readonly server: (id: string) =>
		| {
				readonly promptDelayMs: (now: number, promptTokens: number) => number;
		  }
		| undefined;
};

/**
 * Whether another engine would begin a waiting prompt in less than half of the time that it is still expected to wait, and
 * sooner by more than the interval at which it asks again, as the figures are up to that old. Choosing again also asks for
 * a replica of its adapter where one is due.
 *
 * @param need the request's need, with the server at which it waits
 */
export function hasSoonerEngine(
	view: EngineView,
	need: ServerNeed & {readonly waitsAt: string},
	remainingMs: number,
	now: number,
): boolean {
	const choice = view.choose(need, now);
	if (choice.kind !== 'send' || choice.server === need.waitsAt) {
		return false;
	}

	const otherMs =
		view.server(choice.server)?.promptDelayMs(now, need.promptTokens) ??
		Number.POSITIVE_INFINITY;
	return otherMs < remainingMs / 2 && remainingMs - otherMs > turnAskIntervalMs;
}

/**
 * Time for which a prompt is expected to wait on, in milliseconds. More urgent prompts may have come since the agent's
 * estimate, so a wait that has outlasted it is expected to last as long again.
 */
export function remainingTurnMs(
	{
		startedAt,
		expectedAt,
	}: {readonly startedAt: number; readonly expectedAt: number},
	now: number,
): number {
	return Math.max(expectedAt - now, now - startedAt);
}
