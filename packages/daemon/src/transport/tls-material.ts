import {readFileSync, unwatchFile, watchFile} from 'node:fs';
import type {Disposable} from '../common/types.js';

/** Interval at which certificate files are checked for changes, in milliseconds. */
const watchIntervalMs = 2000;

/** Paths of the certificate, key and CA files, in PEM format. */
export type TlsFiles = {
	readonly certFile: string;
	readonly keyFile: string;
	readonly caFile: string;
};

/** Contents of the certificate, key and CA files, in PEM format. */
export type TlsCredentials = {
	readonly cert: string;
	readonly key: string;
	readonly ca: string;
};

function readCredentials(files: TlsFiles): TlsCredentials {
	return {
		cert: readFileSync(files.certFile, 'utf8'),
		key: readFileSync(files.keyFile, 'utf8'),
		ca: readFileSync(files.caFile, 'utf8'),
	};
}

/** Reads the TLS files and rereads them when one of them changes. */
export class TlsMaterial implements Disposable {
	/**
	 * Reads the files and starts to watch them.
	 * @throws Error if a file can't be read at the start. After a later failure, the last contents that could be read stay in use and `onReadFailed` is called.
	 */
	static create(
		files: TlsFiles,
		onReadFailed: (err: unknown) => void,
	): TlsMaterial {
		return new TlsMaterial(files, onReadFailed);
	}

	private _current: TlsCredentials;
	private readonly _listeners = new Set<
		(credentials: TlsCredentials) => void
	>();

	private constructor(
		private readonly _files: TlsFiles,
		private readonly _onReadFailed: (err: unknown) => void,
	) {
		this._current = readCredentials(_files);
		for (const file of Object.values(_files)) {
			watchFile(
				file,
				{interval: watchIntervalMs, persistent: false},
				this._reread,
			);
		}
	}

	credentials(): TlsCredentials {
		return this._current;
	}

	onChanged(listener: (credentials: TlsCredentials) => void): Disposable {
		this._listeners.add(listener);
		return {
			dispose: () => {
				this._listeners.delete(listener);
			},
		};
	}

	dispose(): void {
		for (const file of Object.values(this._files)) {
			unwatchFile(file, this._reread);
		}

		this._listeners.clear();
	}

	private readonly _reread = () => {
		try {
			this._current = readCredentials(this._files);
		} catch (error) {
			// A file may be partly replaced. The watcher calls again when the replacement is complete.
			this._onReadFailed(error);
			return;
		}

		for (const listener of this._listeners) {
			listener(this._current);
		}
	};
}
