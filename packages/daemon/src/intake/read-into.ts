import {Socket} from 'node:net';

/** Properties of a socket that Node.js does not document. Only the constructor's option `onread` sets them. */
type ReadOptions = {
	readonly buffer: symbol;
	readonly callback: symbol;
};

type HandleOwner = {
	readonly _handle?: {
		readonly useUserBuffer?: (buffer: Uint8Array) => void;
	} | null; // eslint-disable-line @typescript-eslint/no-restricted-types
};

const readOptions = findReadOptions();

/**
 * Makes an open socket read into a buffer, as the option `onread` does for one that is opened here. Alone, each read
 * allocates 64 KB, most of which is garbage at once.
 *
 * @param onRead called with the number of bytes; returns whether to read on
 * @returns false if this version of Node.js has no such properties
 */
export function readInto(
	socket: Socket,
	buffer: Uint8Array,
	onRead: (bytes: number) => boolean,
): boolean {
	const {_handle: handle} = socket as Socket & HandleOwner;
	if (readOptions === undefined || handle?.useUserBuffer === undefined) {
		return false;
	}

	Object.assign(socket, {
		[readOptions.buffer]: buffer,
		[readOptions.callback]: onRead,
	});
	handle.useUserBuffer(buffer);
	return true;
}

function findReadOptions(): ReadOptions | undefined {
	const symbols = Object.getOwnPropertySymbols(new Socket());
	const find = (name: string) =>
		symbols.find(({description}) => description === name);
	const buffer = find('kBuffer');
	const callback = find('kBufferCb');
	return buffer !== undefined && callback !== undefined
		? {buffer, callback}
		: undefined;
}
