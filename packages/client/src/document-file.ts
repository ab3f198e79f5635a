import {readFileSync} from 'node:fs';
import {formatFault, parseDocument} from '@balsamtray/protocol';
import {UsageError} from 'clipanion';

/** A document that was read from a file and found right. */
export type DocumentFile = {
	readonly customers: number;
	readonly adapters: number;
	readonly routes: number;
	/** Canonical JSON of the document. */
	readonly text: string;
	readonly digest: string;
};

/**
 * Reads and checks a document.
 * @throws UsageError that lists every fault.
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
