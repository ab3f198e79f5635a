/** What a caller shows of a key. */
export type Shown = {
	/** Customer whose key it is. */
	readonly customer?: string;
	/** Text that it shows in place of a customer's key. */
	readonly key?: string;
};

/** Reads the names that stand in quotation marks. */
export function readNames(text: string): readonly string[] {
	return [...text.matchAll(/"(?<name>[^"]+)"/gv)].flatMap(
		match => match.groups?.name ?? [],
	);
}

/** Reads `without a key`, `with the key "TEXT"` or `with the key of "CUSTOMER"`. */
export function readShown(text: string): Shown {
	const [name] = readNames(text);
	if (name === undefined) {
		return {};
	}

	return text.includes('key of') ? {customer: name} : {key: name};
}
