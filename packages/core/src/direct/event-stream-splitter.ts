import {Buffer} from 'node:buffer';
import {maxEventBytes} from './constants.js';

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** Initial size of the buffer for a partial event, in bytes: several usual events. */
const initialBufferBytes = 1024;

/** Complete events of a stream, and the last event identifier among them. */
export type CompleteEvents = {
	readonly bytes: Uint8Array;
	readonly lastEventId: string | undefined;
	/** Number of the events. */
	readonly events: number;
	/** Whether each event follows the one before. The bytes end before the first that does not. */
	readonly isInOrder: boolean;
};

/** Splits a `text/event-stream` into complete events, so that an interrupted stream ends between two events. */
export class EventStreamSplitter {
	static create(): EventStreamSplitter {
		return new EventStreamSplitter();
	}

	/** Begins with the bytes after the last complete event. Its size doubles, so appending takes linear time. */
	private _buffer: Uint8Array = new Uint8Array(0);
	private _partialEventBytes = 0;

	private constructor() {}

	/** Number of bytes after the last complete event. */
	get partialEventBytes(): number {
		return this._partialEventBytes;
	}

	/** Whether an event is longer than `maxEventBytes` and still not complete. The stream is unusable then. */
	get isEventTooLong(): boolean {
		return this._partialEventBytes > maxEventBytes;
	}

	/**
	 * Appends bytes and returns the events that they complete.
	 *
	 * @param after identifier of the last event before; from then on each event needs one, and whole numbers have to rise
	 */
	push(chunk: Uint8Array, after?: string): CompleteEvents {
		const end = this._endOfLastEventIn(chunk);
		if (end === 0) {
			this._append(chunk);
			return {
				bytes: new Uint8Array(0),
				lastEventId: undefined,
				events: 0,
				isInOrder: true,
			};
		}

		const complete =
			this._partialEventBytes === 0
				? chunk.subarray(0, end)
				: Buffer.concat([this.takePartialEvent(), chunk.subarray(0, end)]);
		this._append(chunk.subarray(end));
		const {end: inOrderEnd, ...summary} = summaryOf(complete, after);
		return {
			bytes: complete.subarray(0, inOrderEnd),
			...summary,
			isInOrder: inOrderEnd === complete.length,
		};
	}

	/** Returns and clears the bytes after the last complete event. */
	takePartialEvent(): Uint8Array {
		const partialEvent = this._buffer.subarray(0, this._partialEventBytes);
		this._buffer = new Uint8Array(0);
		this._partialEventBytes = 0;
		return partialEvent;
	}

	/** Returns the offset after the last empty line in a chunk, which may begin before it, or 0 if there is none. */
	private _endOfLastEventIn(chunk: Uint8Array): number {
		const byteAt = (i: number) =>
			i >= 0 ? chunk[i] : this._buffer[this._partialEventBytes + i];
		for (let i = chunk.length - 1; i >= 0; i--) {
			if (chunk[i] !== lineFeed) {
				continue;
			}

			const before = byteAt(i - 1);
			if (
				before === lineFeed ||
				(before === carriageReturn && byteAt(i - 2) === lineFeed)
			) {
				return i + 1;
			}
		}

		return 0;
	}

	private _append(bytes: Uint8Array): void {
		const length = this._partialEventBytes + bytes.length;
		if (length > this._buffer.length) {
			const size = Math.max(
				length,
				2 * this._buffer.length,
				initialBufferBytes,
			);
			const buffer = new Uint8Array(size);
			buffer.set(this._buffer.subarray(0, this._partialEventBytes));
			this._buffer = buffer;
		}

		this._buffer.set(bytes, this._partialEventBytes);
		this._partialEventBytes = length;
	}
}

type Summary = Pick<CompleteEvents, 'lastEventId' | 'events'> & {
	/** Offset of the first event that does not follow the one before; the length if all do. */
	readonly end: number;
};

/** Returns the last identifier and the number of complete events. Each ends with an empty line. */
function summaryOf(complete: Uint8Array, after: string | undefined): Summary {
	const text = Buffer.from(complete).toString('latin1');
	let lastEventId: string | undefined;
	let events = 0;
	let hasFields = false;
	let id: string | undefined;
	let end = 0;
	let offset = 0;
	for (const line of text.split('\n')) {
		offset += line.length + 1;
		if (line !== '' && line !== '\r') {
			// A comment alone, as servers send to keep a connection open, is no event.
			hasFields ||= !line.startsWith(':');
			id = line.startsWith('id:') ? line.slice(3).trim() : id;
			continue;
		}

		if (hasFields) {
			if (after !== undefined && !follows(id, lastEventId ?? after)) {
				return {lastEventId, events, end};
			}

			events++;
			lastEventId = id ?? lastEventId;
			hasFields = false;
			id = undefined;
		}

		end = Math.min(offset, complete.length);
	}

	return {lastEventId, events, end: complete.length};
}

/** Whether an event may come after another one. Bytes that only look like an event have no identifier. */
function follows(id: string | undefined, last: string): boolean {
	return (
		id !== undefined &&
		(!isWholeNumber(id) || !isWholeNumber(last) || Number(id) > Number(last))
	);
}

function isWholeNumber(text: string): boolean {
	return /^\d{1,15}$/v.test(text);
}
