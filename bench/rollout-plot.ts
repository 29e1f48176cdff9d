/** Draws the rollout time by number of VMs as an SVG. */
import type {BenchResult} from './rollout-run.ts';

const width = 640;
const height = 380;
const margin = {
	left: 60, right: 170, top: 20, bottom: 45,
};
const colours = ['#b3261e', '#b26a00', '#1a73e8', '#188038', '#777777'];

type Series = {readonly name: string; readonly points: ReadonlyArray<readonly [number, number]>};

/**
 * Draws one line per kind of run, and the lower bound. Returns the SVG document.
 *
 * @param results - the measured runs
 * @param boundSeconds - returns the lower bound of the rollout time for a number of VMs, in seconds
 */
export function drawPlot(results: readonly BenchResult[], boundSeconds: (vms: number) => number): string {
	const names = [...new Set(results.map(({name}) => name))];
	const sizes = [...new Set(results.map(({vms}) => vms))].toSorted((a, b) => a - b);
	const series: Series[] = [
		...names.map(name => ({name, points: results.filter(result => result.name === name).toSorted((a, b) => a.vms - b.vms).map(({vms, seconds}) => [vms, seconds] as const)})),
		{name: 'lower bound', points: sizes.map(vms => [vms, boundSeconds(vms)] as const)},
	];
	const maxSeconds = Math.max(...series.flatMap(({points}) => points.map(([, seconds]) => seconds)));
	const x = (vms: number) => margin.left + ((Math.log2(vms / sizes[0]!) / Math.max(1, Math.log2(sizes.at(-1)! / sizes[0]!))) * (width - margin.left - margin.right));
	const y = (seconds: number) => height - margin.bottom - (seconds / maxSeconds * (height - margin.top - margin.bottom));
	const ticks = [0, 0.25, 0.5, 0.75, 1].map(share => share * maxSeconds);
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${width} ${height}" font-family="sans-serif" font-size="12">`,
		`<rect width="${width}" height="${height}" fill="#ffffff"/>`,
		...ticks.map(seconds => `<line x1="${margin.left}" x2="${width - margin.right}" y1="${y(seconds).toFixed(1)}" y2="${y(seconds).toFixed(1)}" stroke="#dddddd"/><text x="${margin.left - 6}" y="${(y(seconds) + 4).toFixed(1)}" text-anchor="end">${seconds.toFixed(0)} s</text>`),
		...sizes.map(vms => `<text x="${x(vms).toFixed(1)}" y="${height - margin.bottom + 18}" text-anchor="middle">${vms}</text>`),
		`<text x="${(width - margin.right + margin.left) / 2}" y="${height - 8}" text-anchor="middle">VMs</text>`,
		...series.flatMap(({name, points}, seriesIndex) => drawSeries({name, points: points.map(([vms, seconds]) => [x(vms), y(seconds)] as const)}, seriesIndex)),
		'</svg>',
		'',
	].join('\n');
}

function drawSeries({name, points}: Series, seriesIndex: number): string[] {
	const colour = colours[seriesIndex % colours.length]!;
	const path = points.map(([px, py]) => `${px.toFixed(1)},${py.toFixed(1)}`).join(' ');
	const legendY = margin.top + 15 + (seriesIndex * 18);
	return [
		`<polyline points="${path}" fill="none" stroke="${colour}" stroke-width="2"/>`,
		...points.map(([px, py]) => `<circle cx="${px.toFixed(1)}" cy="${py.toFixed(1)}" r="3" fill="${colour}"/>`),
		`<rect x="${width - margin.right + 15}" y="${legendY - 9}" width="12" height="10" fill="${colour}"/><text x="${width - margin.right + 32}" y="${legendY}">${name}</text>`,
	];
}
