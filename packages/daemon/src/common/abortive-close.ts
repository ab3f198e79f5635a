import type {Socket} from 'node:net';
import process from 'node:process';

/** Sets the linger time of a socket, in seconds; undefined closes it in order. Returns whether the system did. */
type SetLinger = (fd: number, seconds: number | undefined) => boolean;

/** Constants of Linux, the same on x86-64 and arm64. */
const solSocket = 1;
const soLinger = 13;

/** Size of `struct linger`, in bytes. */
const lingerBytes = 8;

/**
 * Makes the system reset a connection instead of closing it in order if the process ends, however it ends. Node.js has
 * no call for this socket option.
 */
export class AbortiveClose {
	/** @returns an instance whose `set` returns false if the system's call can't be loaded */
	static async load(onError: (err: Error) => void): Promise<AbortiveClose> {
		try {
			return new AbortiveClose(await loadSetLinger());
		} catch (error) {
			onError(error instanceof Error ? error : new Error(String(error)));
			return new AbortiveClose(() => false);
		}
	}

	private constructor(private readonly _setLinger: SetLinger) {}

	/**
	 * @param isOn whether a close resets the connection and drops what is not sent
	 * @returns whether the system did so
	 */
	set(socket: Socket, isOn: boolean): boolean {
		const fd = descriptorOf(socket);
		return fd !== undefined && this._setLinger(fd, isOn ? 0 : undefined);
	}
}

async function loadSetLinger(): Promise<SetLinger> {
	if (process.platform !== 'linux') {
		throw new Error(`SO_LINGER is not supported on ${process.platform}`);
	}

	const {default: koffi} = await import('koffi');
	const linger = koffi.struct({onOff: 'int', seconds: 'int'});
	const setOption = koffi
		.load(null)
		.func('setsockopt', 'int', [
			'int',
			'int',
			'int',
			koffi.pointer(linger),
			'uint32_t',
		]);
	return (fd, seconds) => {
		const value = {onOff: seconds === undefined ? 0 : 1, seconds: seconds ?? 0};
		return setOption(fd, solSocket, soLinger, value, lingerBytes) === 0;
	};
}

/** Descriptor of an open socket, which Node.js keeps in an undocumented property. */
function descriptorOf(socket: Socket): number | undefined {
	const {_handle: handle} = socket as Socket & {
		readonly _handle?: {readonly fd?: number};
	};
	const fd = handle?.fd;
	return fd === undefined || fd < 0 ? undefined : fd;
}
