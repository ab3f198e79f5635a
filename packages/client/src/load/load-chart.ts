import type {LoadReport, LoadSecond} from './types.js';

const width = 900;
const panelHeight = 240;
const margin = {left: 70, right: 20, top: 40, bottom: 30};
const panelGap = 50;
const tickCount = 4;

type Series = {
	readonly name: string;
	readonly color: string;
	readonly valueOf: (second: LoadSecond) => number;
};

const latencySeries: readonly Series[] = [
	{name: 'p50', color: '#1f77b4', valueOf: second => second.firstByteP50},
	{name: 'p99', color: '#d62728', valueOf: second => second.firstByteP99},
];

const countSeries: readonly Series[] = [
	{name: 'ok', color: '#2ca02c', valueOf: second => second.ok},
	{name: 'refused', color: '#ff7f0e', valueOf: second => second.refused},
	{name: 'failed', color: '#9467bd', valueOf: second => second.failed},
];

/** Renders latency and outcomes by due time as an SVG chart. */
export function renderLoadChart(report: LoadReport): string {
	const height = 2 * (margin.top + panelHeight + margin.bottom) + panelGap;
	const lowerPanelOffset = margin.top + panelHeight + margin.bottom + panelGap;
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" viewBox="0 0 ${width} ${height}" font-family="sans-serif" font-size="12">`,
		'<rect width="100%" height="100%" fill="white"/>',
		renderPanel(
			'Time to first byte of complete responses, ms',
			latencySeries,
			report,
			0,
		),
		renderPanel(
			'Requests per second by outcome',
			countSeries,
			report,
			lowerPanelOffset,
		),
		'</svg>',
		'',
	].join('\n');
}

function renderPanel(
	title: string,
	seriesList: readonly Series[],
	{seconds}: LoadReport,
	offset: number,
): string {
	const highest = Math.max(
		1,
		...seconds.flatMap(second => seriesList.map(s => s.valueOf(second))),
	);
	const top = offset + margin.top;
	const bottom = top + panelHeight;
	const lines = seriesList.map(series => {
		const points = seconds.map((second, i) => {
			const x = xOf(i, seconds.length);
			const y = bottom - (series.valueOf(second) / highest) * panelHeight;
			return `${x.toFixed(1)},${y.toFixed(1)}`;
		});
		return `<polyline fill="none" stroke="${series.color}" stroke-width="1.5" points="${points.join(' ')}"/>`;
	});
	return [
		`<text x="${margin.left}" y="${top - 18}" font-weight="bold">${title}</text>`,
		...renderAxis(highest, top, bottom),
		`<text x="${width - margin.right}" y="${bottom + 18}" text-anchor="end">${seconds.length} s</text>`,
		...lines,
		...renderLegend(seriesList, top),
	].join('\n');
}

function renderAxis(
	highest: number,
	top: number,
	bottom: number,
): readonly string[] {
	return Array.from({length: tickCount + 1}, (_, i) => {
		const y = bottom - (i / tickCount) * (bottom - top);
		const value = Math.round((i / tickCount) * highest);
		return [
			`<line x1="${margin.left}" x2="${width - margin.right}" y1="${y}" y2="${y}" stroke="#ddd"/>`,
			`<text x="${margin.left - 8}" y="${y + 4}" text-anchor="end">${value}</text>`,
		].join('\n');
	});
}

function renderLegend(
	seriesList: readonly Series[],
	top: number,
): readonly string[] {
	const entryWidth = 90;
	return seriesList.map((series, i) => {
		const x = width - margin.right - (seriesList.length - i) * entryWidth;
		return `<rect x="${x}" y="${top - 27}" width="12" height="12" fill="${series.color}"/><text x="${x + 17}" y="${top - 17}">${series.name}</text>`;
	});
}

function xOf(i: number, count: number): number {
	const span = width - margin.left - margin.right;
	return margin.left + (count <= 1 ? 0 : (i / (count - 1)) * span);
}
