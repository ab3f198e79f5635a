import type {Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Turns of the event loop in which the close of a connection is read that came during a stall, after a request. */
export const turnsAfterStall = 3;

/**
 * Turns of the event loop before a request is sent. One that arrived together with the close of its caller is read a turn
 * before that, and the first turn may be the rest of the one that read the request.
 *
 * @param isCatchingUp whether the process may have been stalled just before
 */
export function turnsBeforeSend(isCatchingUp: boolean): number {
	return isCatchingUp ? turnsAfterStall : 2;
}

/** Whether the caller's side of a connection is known to be closed. Its 'close' event follows some turns later. */
export function isCallerGone(socket: Socket): boolean {
	return socket.readableEnded || socket.destroyed;
}

/** Whether a caller has closed its connection, by what can be read in some turns of the event loop. */
export async function hasCallerLeft(
	socket: Socket,
	turns: number,
): Promise<boolean> {
	for (let i = 0; i < turns && !isCallerGone(socket); i++) {
		// Each turn reads what has arrived since the one before.
		// eslint-disable-next-line no-await-in-loop
		await nextTurn();
	}

	return isCallerGone(socket);
}
