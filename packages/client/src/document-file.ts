import {readFileSync} from 'node:fs';
import {formatFault, parseDocument} from '@balsamtray/protocol';
import {UsageError} from 'clipanion';

/** A valid configuration document, with the number of its objects of each kind. */
export type DocumentFile = {
	readonly customers: number;
	readonly adapters: number;
	readonly routes: number;
	/** Canonical JSON of the document. */
	readonly text: string;
	/** Digest of `text`. */
	readonly digest: string;
};

/**
 * Reads and validates a document.
 * @throws UsageError if the file can't be read or is invalid; the message lists every error.
 */
export function readDocumentFile(path: string): DocumentFile {
	const result = parseDocument(readText(path));
	if (result.kind === 'invalid') {
		const faults = result.faults.map(fault => `${path}: ${formatFault(fault)}`);
		throw new UsageError(faults.join('\n'));
	}

	const {document, text, digest} = result;
	return {
		customers: document.customers.length,
		adapters: document.adapters.length,
		routes: document.routes.length,
		text,
		digest,
	};
}

function readText(path: string): string {
	try {
		return readFileSync(path, 'utf8');
	} catch {
		throw new UsageError(`${path} can't be read.`);
	}
}
