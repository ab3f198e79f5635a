import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** Interval at which the clients' progress is read, in milliseconds. */
const progressIntervalMs = 100;

/** Time without progress of any client after which all of them have sent what the receiver takes, in milliseconds. */
const settledMs = 1000;

/** Time after which the clients no longer count as progressing, in milliseconds. */
const maxProgressMs = 40_000;

/** Bytes of one write to a connection. */
const writeBytes = 64 * 1024;

/** What a client sends: parts that are written one after another, as fast as the receiver reads them. */
export type ClientBytes = Iterable<Uint8Array>;

/** Clients that each send prepared bytes over a connection of their own and keep it open. */
export class ClientCrowd {
	/**
	 * Opens the connections.
	 *
	 * @param bytesOf returns what the client of an index sends
	 */
	static open(
		connect: () => Socket,
		clients: number,
		bytesOf: (index: number) => ClientBytes,
		{isReading = true}: {readonly isReading?: boolean} = {},
	): ClientCrowd {
		const sockets = Array.from({length: clients}, (_, index) => {
			const socket = connect();
			socket.on('error', () => undefined);
			if (isReading) {
				socket.resume();
			}

			void sendAll(socket, bytesOf(index));
			return socket;
		});
		return new ClientCrowd(sockets);
	}

	private constructor(private readonly _sockets: readonly Socket[]) {}

	/** Waits until no client makes progress any more, as it has sent all, or its bytes are not read, or it was closed. */
	async settle(): Promise<void> {
		const endAt = Date.now() + maxProgressMs;
		let last = -1;
		let lastAt = Date.now();
		while (Date.now() - lastAt < settledMs && Date.now() < endAt) {
			// Each reading is compared with the one before.
			// eslint-disable-next-line no-await-in-loop
			await delay(progressIntervalMs);
			const sent = this._sentBytes();
			if (sent !== last) {
				last = sent;
				lastAt = Date.now();
			}
		}
	}

	close(): void {
		for (const socket of this._sockets) {
			socket.destroy();
		}
	}

	private _sentBytes(): number {
		return this._sockets.reduce(
			(sum, socket) => sum + socket.bytesWritten - socket.writableLength,
			0,
		);
	}
}

/** Writes the parts one after another. Resolves when all are written, or the connection has closed. */
export async function sendAll(
	socket: Socket,
	parts: ClientBytes,
): Promise<void> {
	for (const part of parts) {
		if (socket.destroyed) {
			return;
		}

		// Each part waits until the receiver has read enough of the one before.
		// eslint-disable-next-line no-await-in-loop
		await new Promise<void>(resolve => {
			socket.once('close', resolve);
			socket.write(part, () => {
				socket.off('close', resolve);
				resolve();
			});
		});
	}
}

/** Chunks of a chunked body, without its end. */
export function* chunkedBody(
	bodyBytes: number,
	chunkBytes: number,
): ClientBytes {
	const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
	yield* repeated(chunk, Math.floor(bodyBytes / chunkBytes));
}

/** A text over and over, in parts of a usual write. */
export function* repeated(text: string, count: number): ClientBytes {
	const perPart = Math.max(
		1,
		Math.min(count, Math.floor(writeBytes / text.length)),
	);
	const part = Buffer.from(text.repeat(perPart));
	let left = count;
	for (; left >= perPart; left -= perPart) {
		yield part;
	}

	if (left > 0) {
		yield Buffer.from(text.repeat(left));
	}
}
