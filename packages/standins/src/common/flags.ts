import {parseArgs} from 'node:util';

/** Flags of a stand-in's command line, `--name value` or `--name`. */
export class Flags {
	static create(args: readonly string[]): Flags {
		const {tokens} = parseArgs({
			args: [...args],
			strict: false,
			tokens: true,
			allowPositionals: true,
		});
		const values = new Map<string, string>();
		let lastName: string | undefined;
		for (const token of tokens) {
			if (token.kind === 'option') {
				values.set(token.name, token.value ?? 'true');
				lastName = token.value === undefined ? token.name : undefined;
			} else if (token.kind === 'positional' && lastName !== undefined) {
				values.set(lastName, token.value);
				lastName = undefined;
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

	/** Reads a number. Throws on a text that is none. */
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
