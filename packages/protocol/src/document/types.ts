import type {ConfigDocument} from '@balsamtray/core';

/** One thing that is wrong in a document. */
export type DocumentFault = {
	/** Names from the document's root to the place. */
	readonly path: ReadonlyArray<string | number>;
	readonly message: string;
	/** Line of the text, counted from 1, where the text is known. */
	readonly line?: number;
};

/** Outcome of checking a document. */
export type DocumentResult =
	| {
			readonly kind: 'valid';
			readonly document: ConfigDocument;
			/** Canonical JSON of the document, the form in which it travels. */
			readonly text: string;
			/** Hexadecimal SHA-256 of the canonical JSON. */
			readonly digest: string;
	  }
	| {readonly kind: 'invalid'; readonly faults: readonly DocumentFault[]};
