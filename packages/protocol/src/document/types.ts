import type {ConfigDocument} from '@balsamtray/core';

/** A fault in a document. */
export type DocumentFault = {
	/** Property names and array indexes from the document's root to the fault. */
	readonly path: ReadonlyArray<string | number>;
	readonly message: string;
	/** Line number in the text, counted from 1. Absent if only the parsed data was checked. */
	readonly line?: number;
};

/** Outcome of checking a document. */
export type DocumentResult =
	| {
			readonly kind: 'valid';
			readonly document: ConfigDocument;
			/** Canonical JSON of the document, the form in which it is sent. */
			readonly text: string;
			/** Hexadecimal SHA-256 of the canonical JSON. */
			readonly digest: string;
	  }
	| {readonly kind: 'invalid'; readonly faults: readonly DocumentFault[]};
