import {maxDeclarationsPerAdapter} from './constants.js';

/** A declared version. */
type Declaration = {
	readonly version: number;
	/**
	 * Monotonic time after which the version was declared, in milliseconds; negative infinity if that is unknown. The time
	 * limit on older versions counts from it.
	 */
	readonly since: number;
};

/**
 * Declared versions of the adapters. Each one limits the use of the versions before it from its own declaration, however
 * many follow it.
 */
export class AdapterVersions {
	static create(): AdapterVersions {
		return new AdapterVersions();
	}

	/** Declarations of each adapter by ascending version. Only the first may be long past. */
	private readonly _declared = new Map<string, readonly Declaration[]>();

	private constructor() {}

	/**
	 * Adds a version. Returns whether it is newer than those known before; others are ignored.
	 *
	 * @param adapter `adapterKey` of the adapter
	 */
	declare(adapter: string, version: number, since: number): boolean {
		const known = this._declared.get(adapter) ?? [];
		if (version <= (known.at(-1)?.version ?? 0)) {
			return false;
		}

		const declared = [...known, {version, since}];
		const surplus = declared.length - maxDeclarationsPerAdapter;
		this._declared.set(
			adapter,
			surplus > 0 ? mergeOldest(declared, surplus) : declared,
		);
		return true;
	}

	/** Requires the newest versions at once, after the monotonic clock may have stopped. */
	forgetTimes(): void {
		for (const [adapter, declared] of this._declared) {
			const {version} = declared.at(-1)!;
			this._declared.set(adapter, [{version, since: Number.NEGATIVE_INFINITY}]);
		}
	}

	/** Newest declared version; undefined if none was declared. */
	newest(adapter: string): number | undefined {
		return this._declared.get(adapter)?.at(-1)?.version;
	}

	/** Oldest version that may be used if a version ends the use of those before it after `graceMs`; 0 if any may. */
	minimum(adapter: string, graceMs: number, now: number): number {
		const declared = this._declared.get(adapter) ?? [];
		return declared.findLast(({since}) => now - since >= graceMs)?.version ?? 0;
	}
}

/** Merges the oldest declarations into the one after them, which then ends the use of older versions in their place. */
function mergeOldest(
	declared: readonly Declaration[],
	count: number,
): readonly Declaration[] {
	const [first, ...rest] = declared.slice(count);
	return [{...first!, since: declared[0]!.since}, ...rest];
}
