import {completionOf, type CallResult} from './call-result.js';

const headPattern =
	/^\[model=(?<model>\S+) weights=(?<weights>\S+) request=(?<request>\S+)\] (?<echo>[\s\S]*)$/v;
const endPattern = /\[end=(?<request>\S+) tokens=(?<tokens>\d+)\]$/v;

/** What a caller asked for. */
export type AskedFor = {
	/** Served name, `ADAPTER@VERSION`. */
	readonly servedName: string;
	readonly weights?: string;
	/** Start of its prompt, unique to the request. */
	readonly prompt: string;
};

/**
 * Checks an answer of the engine stand-in against the request: status, identity, adapter version, weights, wholeness.
 * Returns everything that is wrong with it.
 */
export function faultsOfCompletion(
	result: CallResult,
	asked: AskedFor,
): readonly string[] {
	if (result.status !== 200) {
		return [`status ${result.status ?? 'none'}: ${result.text}`];
	}

	const completion = completionOf(result);
	const head = headPattern.exec(completion.text)?.groups ?? {};
	const end = endPattern.exec(completion.text)?.groups ?? {};
	const ids = new Set(completion.ids);
	const models = new Set(completion.models);
	const faults: Array<string | false> = [
		!completion.isWhole && 'the answer is not whole',
		ids.size !== 1 && `the answer carries ${ids.size} identifiers`,
		models.size !== 1 && `the answer carries ${models.size} models`,
		head.model !== asked.servedName &&
			`ran on ${head.model}, not on ${asked.servedName}`,
		asked.weights !== undefined &&
			head.weights !== asked.weights &&
			`ran on the weights ${head.weights}, not on ${asked.weights}`,
		!(head.echo ?? '').startsWith(asked.prompt) &&
			`answers another prompt: ${head.echo}`,
		head.request !== end.request &&
			`began as ${head.request} and ended as ${end.request}`,
	];
	return faults.filter(fault => fault !== false);
}
