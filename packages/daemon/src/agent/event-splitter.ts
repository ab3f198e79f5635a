import {Buffer} from 'node:buffer';
import {eventLimitBytes} from './constants.js';

const lineFeed = 10;
const carriageReturn = 13;
const decoder = new TextDecoder();

/** Splits a stream of server-sent events into single events, each with its closing empty line. */
export class EventSplitter {
	static create(): EventSplitter {
		return new EventSplitter();
	}

	private _rest = new Uint8Array();

	private constructor() {}

	/** Bytes of an event that has not ended. */
	get restLength(): number {
		return this._rest.length;
	}

	/** Takes in a chunk and returns the events that it ended. Throws on an event beyond the limit. */
	push(chunk: Uint8Array): readonly Uint8Array[] {
		const known = this._rest.length;
		const bytes = Buffer.concat([this._rest, chunk]);
		const events: Uint8Array[] = [];
		let start = 0;
		for (let i = known; i < bytes.length; i++) {
			if (isEndOfEvent(bytes, start, i)) {
				events.push(bytes.subarray(start, i + 1));
				start = i + 1;
			}
		}

		this._rest = bytes.subarray(start);
		if (this._rest.length > eventLimitBytes) {
			throw new RangeError('an event of the answer is too large');
		}

		return events;
	}
}

/** Whether an empty line ends at the index. */
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

/** The data of an event, its lines joined. Undefined for comments and other fields. */
export function dataOf(event: Uint8Array): string | undefined {
	const lines = decoder
		.decode(event)
		.split(/\r?\n/v)
		.filter(line => line.startsWith('data:'))
		.map(line => line.slice('data:'.length).trimStart());
	return lines.length === 0 ? undefined : lines.join('\n');
}
