import {Buffer} from 'node:buffer';
import {eventLimitBytes} from './constants.js';

const lineFeed = 10;
const carriageReturn = 13;
const decoder = new TextDecoder();

/** Splits a stream of server-sent events into single events, each including its terminating empty line. */
export class EventSplitter {
	static create(): EventSplitter {
		return new EventSplitter();
	}

	private _buffered = new Uint8Array();

	private constructor() {}

	/** Number of buffered bytes of an incomplete event. */
	get bufferedLength(): number {
		return this._buffered.length;
	}

	/** Adds a chunk and returns the events that it completes. Throws if an event exceeds `eventLimitBytes`. */
	push(chunk: Uint8Array): readonly Uint8Array[] {
		const scannedLength = this._buffered.length;
		const bytes = Buffer.concat([this._buffered, chunk]);
		const events: Uint8Array[] = [];
		let start = 0;
		for (let i = scannedLength; i < bytes.length; i++) {
			if (isEndOfEvent(bytes, start, i)) {
				events.push(bytes.subarray(start, i + 1));
				start = i + 1;
			}
		}

		this._buffered = bytes.subarray(start);
		if (this._buffered.length > eventLimitBytes) {
			throw new RangeError('an event of the response is too large');
		}

		return events;
	}
}

/** Whether the byte at the index ends an empty line. */
function isEndOfEvent(
	bytes: Uint8Array,
	start: number,
	index: number,
): boolean {
	if (bytes[index] !== lineFeed || index === start) {
		return false;
	}

	const before = bytes[index - 1] === carriageReturn ? index - 2 : index - 1;
	return before >= start && bytes[before] === lineFeed;
}

/** Returns the data lines of an event, joined. Returns undefined if it has none, such as a comment. */
export function parseEventData(event: Uint8Array): string | undefined {
	const lines = decoder
		.decode(event)
		.split(/\r?\n/v)
		.filter(line => line.startsWith('data:'))
		.map(line => line.slice('data:'.length).trimStart());
	return lines.length === 0 ? undefined : lines.join('\n');
}
