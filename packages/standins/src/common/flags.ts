import {parseArgs} from 'node:util';

/** Command-line flags of a stand-in, in the forms `--name value`, `--name=value` and `--name`. */
export class Flags {
	static create(args: readonly string[]): Flags {
		const {tokens} = parseArgs({
			args: [...args],
			strict: false,
			tokens: true,
			allowPositionals: true,
		});
		const values = new Map<string, string>();
		let pendingName: string | undefined;
		for (const token of tokens) {
			if (token.kind === 'option') {
				values.set(token.name, token.value ?? 'true');
				pendingName = token.value === undefined ? token.name : undefined;
			} else if (token.kind === 'positional' && pendingName !== undefined) {
				values.set(pendingName, token.value);
				pendingName = undefined;
			}
		}

		return new Flags(values);
	}

	private readonly _values: ReadonlyMap<string, string>;

	private constructor(values: ReadonlyMap<string, string>) {
		this._values = values;
	}

	text(name: string): string | undefined {
		return this._values.get(name);
	}

	/** Returns a numeric flag, or the fallback if it is absent. Throws a TypeError if the value is not finite. */
	number(name: string, fallback: number): number {
		const text = this._values.get(name);
		if (text === undefined) {
			return fallback;
		}

		const value = Number(text);
		if (!Number.isFinite(value)) {
			throw new TypeError(`--${name} is not a number: ${text}`);
		}

		return value;
	}

	isSet(name: string): boolean {
		return this._values.get(name) === 'true';
	}
}
