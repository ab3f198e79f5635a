import {Buffer} from 'node:buffer';

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** Complete events of a stream, and the last event identifier among them. */
export type CompleteEvents = {
	readonly bytes: Uint8Array;
	readonly lastEventId: string | undefined;
};

/** Splits a `text/event-stream` into complete events, so that an interrupted stream ends between two events. */
export class EventStreamSplitter {
	static create(): EventStreamSplitter {
		return new EventStreamSplitter();
	}

	/** Bytes after the last complete event. */
	private _partialEvent: Uint8Array = new Uint8Array(0);

	private constructor() {}

	/** Number of bytes after the last complete event. */
	get partialEventBytes(): number {
		return this._partialEvent.length;
	}

	/** Appends bytes and returns the events that they complete. */
	push(chunk: Uint8Array): CompleteEvents {
		const bytes =
			this._partialEvent.length === 0
				? chunk
				: Buffer.concat([this._partialEvent, chunk]);
		const end = endOfLastEvent(bytes);
		this._partialEvent = bytes.subarray(end);
		const complete = bytes.subarray(0, end);
		return {bytes: complete, lastEventId: lastIdIn(complete)};
	}

	/** Returns and clears the bytes after the last complete event. */
	takePartialEvent(): Uint8Array {
		const rest = this._partialEvent;
		this._partialEvent = new Uint8Array(0);
		return rest;
	}
}

/** Returns the offset after the last empty line, or 0 if there is none. */
function endOfLastEvent(bytes: Uint8Array): number {
	for (let i = bytes.length - 1; i > 0; i--) {
		if (bytes[i] !== lineFeed) {
			continue;
		}

		const before = bytes[i - 1];
		if (
			before === lineFeed ||
			(before === carriageReturn && bytes[i - 2] === lineFeed)
		) {
			return i + 1;
		}
	}

	return 0;
}

function lastIdIn(events: Uint8Array): string | undefined {
	if (events.length === 0) {
		return undefined;
	}

	const text = Buffer.from(events).toString('latin1');
	let id: string | undefined;
	for (const line of text.split('\n')) {
		if (line.startsWith('id:')) {
			id = line.slice(3).trim();
		}
	}

	return id;
}
