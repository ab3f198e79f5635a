import {readFileSync, unwatchFile, watchFile} from 'node:fs';
import type {Disposable} from '../common/types.js';

/** How often certificate files are looked at for changes, in milliseconds. */
const watchIntervalMs = 2000;

/** Paths of the certificate files in PEM. */
export type TlsFiles = {
	readonly certFile: string;
	readonly keyFile: string;
	readonly caFile: string;
};

/** Contents of the certificate files. */
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

/** Certificate files that are read again whenever one of them changes. */
export class TlsMaterial implements Disposable {
	/**
	 * Reads the files.
	 * @throws Error when a file can't be read at the start. Later failures keep the last good contents.
	 */
	static create(
		files: TlsFiles,
		onReadFailed: (err: unknown) => void,
	): TlsMaterial {
		return new TlsMaterial(files, onReadFailed);
	}

	private current: TlsCredentials;
	private readonly listeners = new Set<(c: TlsCredentials) => void>();

	private constructor(
		private readonly files: TlsFiles,
		private readonly onReadFailed: (err: unknown) => void,
	) {
		this.current = readCredentials(files);
		for (const file of Object.values(files)) {
			watchFile(
				file,
				{interval: watchIntervalMs, persistent: false},
				this.reread,
			);
		}
	}

	credentials(): TlsCredentials {
		return this.current;
	}

	onChanged(listener: (credentials: TlsCredentials) => void): Disposable {
		this.listeners.add(listener);
		return {
			dispose: () => {
				this.listeners.delete(listener);
			},
		};
	}

	dispose(): void {
		for (const file of Object.values(this.files)) {
			unwatchFile(file, this.reread);
		}

		this.listeners.clear();
	}

	private readonly reread = () => {
		try {
			this.current = readCredentials(this.files);
		} catch (error) {
			// A file may be half replaced; the watcher calls again when it is whole.
			this.onReadFailed(error);
			return;
		}

		for (const listener of this.listeners) {
			listener(this.current);
		}
	};
}
