/** The API key that a call carries. Without `customer` and `key`, the call carries none. */
export type PresentedKey = {
	/** Customer whose valid key is used. */
	readonly customer?: string;
	/** Literal text used as the key instead. */
	readonly key?: string;
};

/** Returns the names in quotation marks. */
export function parseQuotedNames(text: string): readonly string[] {
	return [...text.matchAll(/"(?<name>[^"]+)"/gv)].flatMap(
		match => match.groups?.name ?? [],
	);
}

/** Parses `without a key`, `with the key "TEXT"` or `with the key of "CUSTOMER"`. */
export function parsePresentedKey(text: string): PresentedKey {
	const [name] = parseQuotedNames(text);
	if (name === undefined) {
		return {};
	}

	return text.includes('key of') ? {customer: name} : {key: name};
}
